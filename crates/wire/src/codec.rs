//! Frames to bytes and back, with a bound on what a peer may announce.

use crate::{Error, Hello, PROTOCOL_VERSION};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Longest frame, in bytes: the platform's largest value (1 MB) and its envelope.
pub const MAX_FRAME: usize = (1 << 20) + (64 << 10);

/// Bytes of a frame's length prefix.
pub const PREFIX_LEN: usize = 4;

/// Appends a frame with its length prefix to `buffer`.
///
/// # Errors
///
/// Refuses a frame over [`MAX_FRAME`]; `buffer` is then as it was.
pub fn encode<T>(frame: &T, buffer: &mut Vec<u8>) -> Result<(), Error>
where
    T: Serialize,
{
    let start = buffer.len();
    buffer.extend_from_slice(&[0; PREFIX_LEN]);
    let mut whole = postcard::to_extend(frame, std::mem::take(buffer))?;
    let length = whole.len() - start - PREFIX_LEN;
    if length > MAX_FRAME {
        whole.truncate(start);
        *buffer = whole;
        return Err(Error::TooLong(length));
    }
    let prefix = u32::try_from(length).unwrap_or(u32::MAX).to_le_bytes();
    whole[start..start + PREFIX_LEN].copy_from_slice(&prefix);
    *buffer = whole;
    Ok(())
}

/// Takes the first whole frame off `bytes`: the frame and the bytes used, or `None` when more must come.
///
/// # Errors
///
/// Refuses a length over [`MAX_FRAME`] before any memory is set aside for it,
/// and bytes that are no frame.
pub fn decode<T>(bytes: &[u8]) -> Result<Option<(T, usize)>, Error>
where
    T: DeserializeOwned,
{
    let Some((prefix, rest)) = bytes.split_first_chunk::<PREFIX_LEN>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*prefix) as usize;
    if length > MAX_FRAME {
        return Err(Error::TooLong(length));
    }
    let Some(body) = rest.get(..length) else {
        return Ok(None);
    };
    Ok(Some((postcard::from_bytes(body)?, PREFIX_LEN + length)))
}

/// Reads one frame, through `scratch`, which is kept between frames to save allocations.
///
/// # Errors
///
/// As [`decode`], and when the link fails or ends.
pub async fn read<R, T>(reader: &mut R, scratch: &mut Vec<u8>) -> Result<T, Error>
where
    R: AsyncRead + Unpin,
    T: DeserializeOwned,
{
    read_bounded(reader, scratch, MAX_FRAME).await
}

async fn read_bounded<R, T>(reader: &mut R, scratch: &mut Vec<u8>, limit: usize) -> Result<T, Error>
where
    R: AsyncRead + Unpin,
    T: DeserializeOwned,
{
    let mut prefix = [0; PREFIX_LEN];
    reader.read_exact(&mut prefix).await?;
    let length = u32::from_le_bytes(prefix) as usize;
    if length > limit {
        return Err(Error::TooLong(length));
    }
    scratch.clear();
    let got = reader.take(length as u64).read_to_end(scratch).await?;
    if got < length {
        return Err(Error::Io(std::io::ErrorKind::UnexpectedEof.into()));
    }
    Ok(postcard::from_bytes(scratch)?)
}

/// Writes one frame.
///
/// # Errors
///
/// As [`encode`], and when the link fails.
pub async fn write<W, T>(writer: &mut W, frame: &T) -> Result<(), Error>
where
    W: AsyncWrite + Unpin,
    T: Serialize,
{
    let mut buffer = Vec::new();
    encode(frame, &mut buffer)?;
    writer.write_all(&buffer).await?;
    Ok(())
}

/// Longest hello, in bytes: names of at most 255 bytes and a few numbers.
pub const MAX_HELLO: usize = 1 << 10;

/// Reads the first frame of a link, from a peer about which nothing is known yet.
///
/// # Errors
///
/// As [`read`], with the bound of [`MAX_HELLO`], and for a peer of another protocol.
pub async fn read_hello<R>(reader: &mut R) -> Result<Hello, Error>
where
    R: AsyncRead + Unpin,
{
    let mut scratch = Vec::new();
    let hello: Hello = read_bounded(reader, &mut scratch, MAX_HELLO).await?;
    if hello.protocol == PROTOCOL_VERSION {
        Ok(hello)
    } else {
        Err(Error::Protocol(hello.protocol))
    }
}

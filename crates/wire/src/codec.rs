//! Encodes and decodes frames, with a limit on the length that a peer may announce.

use crate::{Error, Hello, PROTOCOL_VERSION};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Maximum length of a frame, in bytes: room for the platform's largest value (1 MB) and for the
/// fields around it.
pub const MAX_FRAME_BYTES: usize = (1 << 20) + (64 << 10);

/// Length of a frame's length prefix, in bytes.
pub const PREFIX_LEN: usize = 4;

/// Appends a frame with its length prefix to `buffer`.
///
/// # Errors
///
/// If the frame is longer than [`MAX_FRAME_BYTES`]; `buffer` is then unchanged.
pub fn encode<T>(frame: &T, buffer: &mut Vec<u8>) -> Result<(), Error>
where
    T: Serialize,
{
    let start = buffer.len();
    buffer.extend_from_slice(&[0; PREFIX_LEN]);
    let mut encoded = postcard::to_extend(frame, std::mem::take(buffer))?;
    let length = encoded.len() - start - PREFIX_LEN;
    if length > MAX_FRAME_BYTES {
        encoded.truncate(start);
        *buffer = encoded;
        return Err(Error::TooLong(length));
    }
    let prefix = u32::try_from(length).unwrap_or(u32::MAX).to_le_bytes();
    encoded[start..start + PREFIX_LEN].copy_from_slice(&prefix);
    *buffer = encoded;
    Ok(())
}

/// Decodes the first frame of `bytes`. Returns the frame and the number of bytes that it takes up,
/// or `None` if the frame is not complete yet.
///
/// # Errors
///
/// If the announced length is over [`MAX_FRAME_BYTES`], which is checked before any memory is
/// allocated for the frame, or if the bytes are not a valid frame.
pub fn decode<T>(bytes: &[u8]) -> Result<Option<(T, usize)>, Error>
where
    T: DeserializeOwned,
{
    let Some((prefix, rest)) = bytes.split_first_chunk::<PREFIX_LEN>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(Error::TooLong(length));
    }
    let Some(body) = rest.get(..length) else {
        return Ok(None);
    };
    Ok(Some((postcard::from_bytes(body)?, PREFIX_LEN + length)))
}

/// Reads one frame.
///
/// `scratch` is a buffer that is reused between frames to save allocations.
///
/// # Errors
///
/// As [`decode`], and if the link fails or ends.
pub async fn read<R, T>(reader: &mut R, scratch: &mut Vec<u8>) -> Result<T, Error>
where
    R: AsyncRead + Unpin,
    T: DeserializeOwned,
{
    read_bounded(reader, scratch, MAX_FRAME_BYTES).await
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
    let count = reader.take(length as u64).read_to_end(scratch).await?;
    if count < length {
        return Err(Error::Io(std::io::ErrorKind::UnexpectedEof.into()));
    }
    Ok(postcard::from_bytes(scratch)?)
}

/// Writes one frame.
///
/// # Errors
///
/// As [`encode`], and if the link fails.
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

/// Maximum length of a hello, in bytes: a hello holds names of at most 255 bytes and a few numbers.
pub const MAX_HELLO_BYTES: usize = 1 << 10;

/// Reads the first frame of a link, from a peer that has not identified itself yet.
///
/// # Errors
///
/// As [`read`], with the limit [`MAX_HELLO_BYTES`], and if the peer speaks another protocol version.
pub async fn read_hello<R>(reader: &mut R) -> Result<Hello, Error>
where
    R: AsyncRead + Unpin,
{
    let mut scratch = Vec::new();
    let hello: Hello = read_bounded(reader, &mut scratch, MAX_HELLO_BYTES).await?;
    if hello.protocol == PROTOCOL_VERSION {
        Ok(hello)
    } else {
        Err(Error::Protocol(hello.protocol))
    }
}

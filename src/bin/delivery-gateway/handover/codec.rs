//! Sends messages and descriptors over the local socket between two processes.
//!
//! A frame consists of the length of its message (four little-endian bytes), the number of its descriptors (one byte)
//! and the message's postcard encoding. The descriptors are attached to the first byte of their frame.

use delivery_gateway::socket::is_transient;
use rustix::io::retry_on_intr;
use rustix::net::{
    recvmsg, sendmsg, shutdown, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags,
    SendAncillaryBuffer, SendAncillaryMessage, SendFlags, Shutdown,
};
use serde::{de::DeserializeOwned, Serialize};
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use tokio::io::Interest;
use tokio::net::UnixStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tracing::warn;

use super::timing::{FLUSH_TIMEOUT, RETRY_DELAY};

/// The size of the message length and the number of descriptors before each message.
const HEADER_BYTES: usize = 5;
/// The maximum size of a message; a longer one counts as malformed. The scheduler's state takes a few hundred bytes for
/// each pending message.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// The maximum number of bytes per read.
const READ_BYTES: usize = 64 << 10;
/// The maximum number of descriptors of a frame.
const MAX_FRAME_DESCRIPTORS: usize = 2;
/// The maximum number of descriptors per read: those of two frames.
const MAX_READ_DESCRIPTORS: usize = 4;

/// Splits a socket into a reader and a writer of frames.
pub fn split(stream: UnixStream) -> (FrameReader, FrameWriter) {
    let stream = Rc::new(stream);
    (FrameReader::new(stream.clone()), FrameWriter::new(stream))
}

/// A message that was received, and its descriptors.
pub struct Received<M> {
    pub message: M,
    pub descriptors: Vec<OwnedFd>,
}

/// Reads frames. Cancelling a pending read loses no data.
pub struct FrameReader {
    stream: Rc<UnixStream>,
    buffer: Vec<u8>,
    descriptors: VecDeque<OwnedFd>,
    /// Whether the kernel has dropped descriptors because this process reached its limit of open descriptors. Frames
    /// then don't wait for missing descriptors.
    has_lost_descriptors: bool,
}

impl FrameReader {
    fn new(stream: Rc<UnixStream>) -> Self {
        FrameReader { stream, buffer: Vec::new(), descriptors: VecDeque::new(), has_lost_descriptors: false }
    }

    /// Returns the next message. None if the other process has ended or closed its side, if a read fails, or after a
    /// malformed frame.
    pub async fn next<M: DeserializeOwned>(&mut self) -> Option<Received<M>> {
        loop {
            match self.take_frame() {
                Ok(Some(received)) => return Some(received),
                Ok(None) => {}
                Err(Malformed) => return None,
            }
            match self.read().await {
                Ok(1..) => {}
                Err(error) if is_transient(&error) => sleep(RETRY_DELAY).await,
                Ok(0) | Err(_) => return None,
            }
        }
    }

    /// Removes a frame from the buffer. None if it has not arrived completely.
    fn take_frame<M: DeserializeOwned>(&mut self) -> Result<Option<Received<M>>, Malformed> {
        let Some(header) = self.buffer.first_chunk::<HEADER_BYTES>() else { return Ok(None) };
        let [a, b, c, d, descriptor_count] = *header;
        let length = u32::from_le_bytes([a, b, c, d]) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(Malformed);
        }
        let mut descriptor_count = usize::from(descriptor_count);
        if self.has_lost_descriptors {
            descriptor_count = descriptor_count.min(self.descriptors.len());
        }
        let end = HEADER_BYTES + length;
        if self.buffer.len() < end || self.descriptors.len() < descriptor_count {
            return Ok(None);
        }
        let message = postcard::from_bytes(&self.buffer[HEADER_BYTES..end]).map_err(|_| Malformed)?;
        self.buffer.drain(..end);
        let descriptors = self.descriptors.drain(..descriptor_count).collect();
        Ok(Some(Received { message, descriptors }))
    }

    /// Reads more bytes and descriptors. Returns the number of bytes: 0 at the end of the stream.
    async fn read(&mut self) -> io::Result<usize> {
        let FrameReader { stream, buffer, descriptors, has_lost_descriptors } = self;
        let stream = &**stream;
        let read = stream.async_io(Interest::READABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_READ_DESCRIPTORS))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut bytes = vec![0; READ_BYTES];
            let flags = RecvFlags::CMSG_CLOEXEC | RecvFlags::DONTWAIT;
            let received =
                retry_on_intr(|| recvmsg(stream, &mut [IoSliceMut::new(&mut bytes)], &mut control, flags))?;
            *has_lost_descriptors |= received.flags.contains(ReturnFlags::CTRUNC);
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(arrived) = message {
                    descriptors.extend(arrived);
                }
            }
            buffer.extend_from_slice(&bytes[..received.bytes]);
            Ok(received.bytes)
        });
        read.await
    }
}

/// The bytes read are not a valid frame.
struct Malformed;

struct Frame {
    bytes: Vec<u8>,
    descriptors: Vec<OwnedFd>,
}

/// Writes frames in order, in a separate task. Without that task, two processes that each wait for the other to read
/// would deadlock.
pub struct FrameWriter {
    sender: FrameSender,
    task: JoinHandle<()>,
}

impl FrameWriter {
    fn new(stream: Rc<UnixStream>) -> Self {
        let (sender, mut frames) = unbounded_channel::<Frame>();
        let task = tokio::task::spawn_local(async move {
            while let Some(frame) = frames.recv().await {
                if let Err(error) = write(&stream, frame).await {
                    warn!(%error, "cannot write to the other process: shutting down the handover connection");
                    // Ends the stream for the readers on both sides.
                    let _ = shutdown(&stream, Shutdown::Both);
                    return;
                }
            }
        });
        FrameWriter { sender: FrameSender(sender), task }
    }

    /// Returns a handle that sends messages.
    pub fn sender(&self) -> FrameSender {
        self.sender.clone()
    }

    /// Waits until all frames are written, for at most [`FLUSH_TIMEOUT`]. All other senders must have been dropped.
    pub async fn finish(self) {
        drop(self.sender);
        let _ = timeout(FLUSH_TIMEOUT, self.task).await;
    }
}

/// Sends messages to the other process. Messages are dropped once the connection is shut down.
#[derive(Clone)]
pub struct FrameSender(UnboundedSender<Frame>);

impl FrameSender {
    /// Sends a message.
    pub fn send(&self, message: &impl Serialize) {
        self.send_with(message, Vec::new());
    }

    /// Sends a message with at most [`MAX_FRAME_DESCRIPTORS`] descriptors.
    pub fn send_with(&self, message: &impl Serialize, descriptors: Vec<OwnedFd>) {
        match postcard::to_stdvec(message) {
            Ok(payload) => {
                let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
                bytes.extend((payload.len() as u32).to_le_bytes());
                bytes.push(descriptors.len() as u8);
                bytes.extend(payload);
                let _ = self.0.send(Frame { bytes, descriptors });
            }
            Err(error) => warn!(%error, "cannot encode a message to the other process; it is not sent"),
        }
    }
}

async fn write(stream: &UnixStream, frame: Frame) -> io::Result<()> {
    let Frame { bytes, mut descriptors } = frame;
    let mut unwritten = bytes.as_slice();
    while !unwritten.is_empty() {
        let written =
            stream.async_io(Interest::WRITABLE, || write_some(stream, unwritten, &descriptors)).await;
        match written {
            Ok(count) => {
                descriptors.clear();
                unwritten = &unwritten[count..];
            }
            // The system is short of memory, and nothing was sent.
            Err(error) if is_transient(&error) => sleep(RETRY_DELAY).await,
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Writes as many bytes as the socket accepts. Attaches all descriptors to the first byte.
fn write_some(stream: &UnixStream, bytes: &[u8], descriptors: &[OwnedFd]) -> io::Result<usize> {
    let borrowed: Vec<_> = descriptors.iter().map(AsFd::as_fd).collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_FRAME_DESCRIPTORS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !borrowed.is_empty() && !control.push(SendAncillaryMessage::ScmRights(&borrowed)) {
        return Err(io::Error::other("too many descriptors for one frame"));
    }
    let flags = SendFlags::NOSIGNAL | SendFlags::DONTWAIT;
    Ok(retry_on_intr(|| sendmsg(stream, &[IoSlice::new(bytes)], &mut control, flags))?)
}

//! The room that buffers of several attempts take together.

use super::BufferError;
use super::ResponseRoom;
use super::SMALL_BUFFER_BYTES;
use super::TOTAL_BYTES;
use super::UNIT_BYTES;

const MAX_BYTES: usize = 8 * 1024 * 1024;
const PART: [u8; 8 * 1024] = [b'x'; 8 * 1024];

#[tokio::test]
async fn buffers_that_grow_without_end_share_a_bounded_room() {
    let room = ResponseRoom::default();
    let mut buffers: Vec<_> = (0..100).map(|_| room.buffer(MAX_BYTES)).collect();
    let mut total = 0;
    let error = 'full: loop {
        for buffer in &mut buffers {
            if let Err(e) = buffer.push(&PART).await {
                break 'full e;
            }
            total += PART.len();
        }
    };
    assert_eq!(error, BufferError::NoRoom);
    assert!(total <= TOTAL_BYTES, "{total} bytes");
    let mut small = room.buffer(MAX_BYTES);
    assert_eq!(small.push(&PART[..SMALL_BUFFER_BYTES / 2]).await, Ok(()));
    drop(buffers);
    let mut large = room.buffer(MAX_BYTES);
    for _ in 0..MAX_BYTES / PART.len() {
        assert_eq!(large.push(&PART).await, Ok(()), "the room is free again");
    }
    assert_eq!(
        large.push(&PART).await,
        Err(BufferError::TooLarge(MAX_BYTES))
    );
}

#[tokio::test]
async fn a_buffer_that_is_emptied_gives_its_room_back() {
    let room = ResponseRoom::default();
    let free = room.units.available_permits();
    let mut buffer = room.buffer(MAX_BYTES);
    for _ in 0..64 {
        buffer.push(&PART).await.expect("room");
    }
    assert_eq!(
        free - room.units.available_permits(),
        64 * 2 * PART.len() / UNIT_BYTES
    );
    buffer.bytes_mut().clear();
    buffer.push(&PART).await.expect("room");
    assert_eq!(room.units.available_permits(), free);
}

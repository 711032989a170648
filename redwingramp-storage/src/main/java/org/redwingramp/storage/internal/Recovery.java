package org.redwingramp.storage.internal;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.Snapshot;
import org.redwingramp.core.consensus.StoredState;
import org.redwingramp.storage.CorruptStorageException;

/**
 * Recovers the state of a replica from its data folder: replays the log segments, checks
 * them against the sync mark and reads the current snapshot. Changes nothing on the disk.
 * Not thread safe.
 */
final class Recovery {

	private final StoreFiles files;

	private final StoreLayout layout;

	private final StoreLimits limits;

	private final ReplicaId id;

	private final SortedMap<Long, Long> highestIndexBySegment = new TreeMap<>();

	private LogReplay replay;

	private long endOffset;

	private boolean tornTail;

	Recovery(StoreFiles files, StoreLayout layout, StoreLimits limits, ReplicaId id) {
		this.files = files;
		this.layout = layout;
		this.limits = limits;
		this.id = id;
	}

	Result run() throws IOException, CorruptStorageException {
		List<String> names = this.files.list(this.layout.folder());
		SyncMark syncMark = readSyncMark(names);
		List<Long> numbers = StoreLayout.segmentNumbers(names);
		checkSegmentNumbers(numbers, syncMark);
		for (long number : numbers) {
			boolean last = number == numbers.get(numbers.size() - 1);
			readSegment(number, last, (number == syncMark.segment()) ? syncMark.offset() : 0);
		}
		if (!this.replay.contiguous()) {
			throw StoreErrors.corrupt(this.layout.segment(numbers.get(0) - 1), 0,
					"entries between the snapshot and the first segment are missing");
		}
		Optional<Snapshot> snapshot = readSnapshot(names);
		LogState logState = this.replay.state();
		StoredState state = new StoredState(this.id, logState.hardState(), snapshot,
				this.replay.entriesAfterSnapshot());
		return new Result(state, logState, this.highestIndexBySegment, this.endOffset, this.tornTail);
	}

	private SyncMark readSyncMark(List<String> names) throws IOException, CorruptStorageException {
		if (!names.contains(StoreLayout.SYNC_MARK)) {
			throw StoreErrors.corrupt(this.layout.syncMark(), 0, "the file is missing");
		}
		SyncMark durable = SyncMark.decode(this.files.read(this.layout.syncMark(), SyncMark.MAX_BYTES))
			.orElseThrow(() -> StoreErrors.corrupt(this.layout.syncMark(), 0, "the checksum doesn't match"));
		return readRecentSyncMark(names).filter((recent) -> recent.compareTo(durable) > 0).orElse(durable);
	}

	// Empty if a power loss tore the mark.
	private Optional<SyncMark> readRecentSyncMark(List<String> names) throws IOException {
		return names.contains(StoreLayout.RECENT_SYNC_MARK)
				? SyncMark.decode(this.files.read(this.layout.recentSyncMark(), SyncMark.MAX_BYTES)) : Optional.empty();
	}

	private void checkSegmentNumbers(List<Long> numbers, SyncMark syncMark) throws CorruptStorageException {
		if (!numbers.contains(syncMark.segment())) {
			throw StoreErrors.corrupt(this.layout.segment(syncMark.segment()), 0, "the segment is missing");
		}
		for (int i = 1; i < numbers.size(); i++) {
			long expected = numbers.get(i - 1) + 1;
			if (numbers.get(i) != expected) {
				throw StoreErrors.corrupt(this.layout.segment(expected), 0, "the segment is missing");
			}
		}
		long last = numbers.get(numbers.size() - 1);
		if (last > syncMark.segment() + 1) {
			throw StoreErrors.corrupt(this.layout.syncMark(), 0,
					"the sync mark is more than one segment behind segment " + last);
		}
	}

	private void readSegment(long number, boolean last, long syncedOffset) throws IOException, CorruptStorageException {
		Path file = this.layout.segment(number);
		byte[] data = this.files.read(file, this.limits.maxSegmentBytes());
		if (data.length > this.limits.maxSegmentBytes()) {
			throw StoreErrors.corrupt(file, data.length,
					"the segment exceeds the maximum size of " + this.limits.maxSegmentBytes() + " bytes");
		}
		int offset = readHeader(number, file, data);
		long highestIndex = 0;
		while (offset < data.length) {
			Optional<StoredBatch> batch = StoredBatch.decode(data, offset);
			if (batch.isEmpty()) {
				acceptTornTail(file, data, offset, last);
				break;
			}
			Optional<String> inconsistency = this.replay.apply(batch.get());
			if (inconsistency.isPresent()) {
				throw StoreErrors.corrupt(file, offset, inconsistency.get());
			}
			highestIndex = Math.max(highestIndex, highestIndex(batch.get()));
			offset += Frame.encodedSizeAt(data, offset);
		}
		if (offset < syncedOffset) {
			throw StoreErrors.corrupt(file, offset, "an acknowledged batch is damaged or missing");
		}
		this.highestIndexBySegment.put(number, highestIndex);
		this.endOffset = offset;
	}

	private int readHeader(long number, Path file, byte[] data) throws CorruptStorageException {
		SegmentHeader header = SegmentHeader.decode(data)
			.filter((found) -> found.id().equals(this.id) && found.number() == number)
			.orElseThrow(() -> StoreErrors.corrupt(file, 0,
					"the segment's header is damaged or belongs to another replica or segment"));
		if (this.replay == null) {
			this.replay = new LogReplay(header.start());
		}
		else if (!this.replay.state().equals(header.start())) {
			throw StoreErrors.corrupt(file, 0,
					"the segment's header doesn't match the state of the log after the previous segment");
		}
		return Frame.encodedSizeAt(data, 0);
	}

	private void acceptTornTail(Path file, byte[] data, int offset, boolean last) throws CorruptStorageException {
		if (!last) {
			throw StoreErrors.corrupt(file, offset,
					"a batch is damaged, and a later segment proves that it was synced");
		}
		long damagedSequence = this.replay.state().sequence() + 1;
		// A batch is written only after the previous one is synced, so an intact later
		// batch proves that the damaged one was synced, not torn.
		for (int i = offset + 1; i < data.length - Frame.OVERHEAD_BYTES; i++) {
			if (StoredBatch.decode(data, i).filter((batch) -> batch.sequence() > damagedSequence).isPresent()) {
				throw StoreErrors.corrupt(file, offset,
						"a batch is damaged, and an intact later batch proves that it was synced");
			}
		}
		this.tornTail = true;
	}

	private Optional<Snapshot> readSnapshot(List<String> names) throws IOException, CorruptStorageException {
		SnapshotRef expected = this.replay.state().snapshot();
		Optional<Long> newer = StoreLayout.snapshotIndices(names)
			.stream()
			.filter((index) -> index > expected.index())
			.findFirst();
		if (newer.isPresent()) {
			throw StoreErrors.corrupt(this.layout.snapshot(newer.get()), 0,
					"the log is older than this snapshot; its current snapshot is " + expected.index());
		}
		if (expected.index() == 0) {
			return Optional.empty();
		}
		Path file = StoreLayout.snapshotIndices(names).contains(expected.index())
				? this.layout.snapshot(expected.index()) : this.layout.pendingSnapshot(expected.index());
		if (!names.contains(file.getFileName().toString())) {
			throw StoreErrors.corrupt(this.layout.snapshot(expected.index()), 0, "the snapshot is missing");
		}
		byte[] data = this.files.read(file, (long) this.limits.maxSnapshotBytes() + Frame.OVERHEAD_BYTES);
		Optional<Snapshot> snapshot = Frame.decodeSingle(data, Frame.Type.SNAPSHOT)
			.flatMap((frame) -> Formats.decodeSnapshot(this.id, frame.payload()))
			.filter((found) -> found.index() == expected.index() && found.term() == expected.term());
		if (snapshot.isEmpty()) {
			throw StoreErrors.corrupt(file, 0, "the snapshot's checksum, replica, index or term doesn't match");
		}
		return snapshot;
	}

	static long highestIndex(StoredBatch batch) {
		return batch.entries().stream().mapToLong(LogEntry::index).max().orElse(0);
	}

	/**
	 * The recovered content of a data folder.
	 *
	 * @param state the replica's state
	 * @param logState the state of the log after its last intact batch
	 * @param highestIndexBySegment the highest entry index in each segment, 0 if it holds
	 * no entries, by segment number
	 * @param endOffset the end offset of the last intact batch in the last segment
	 * @param tornTail whether bytes of an unacknowledged batch follow {@code endOffset}
	 */
	record Result(StoredState state, LogState logState, SortedMap<Long, Long> highestIndexBySegment, long endOffset,
			boolean tornTail) {
	}

}

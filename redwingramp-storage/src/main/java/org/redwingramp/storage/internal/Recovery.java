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
 * Reads a data folder. Changes nothing on the disk. Not thread safe.
 */
final class Recovery {

	private final StoreFiles files;

	private final StoreLayout layout;

	private final StoreLimits limits;

	private final ReplicaId id;

	private final SortedMap<Long, Long> segments = new TreeMap<>();

	private LogReplay replay;

	private long end;

	private boolean torn;

	Recovery(StoreFiles files, StoreLayout layout, StoreLimits limits, ReplicaId id) {
		this.files = files;
		this.layout = layout;
		this.limits = limits;
		this.id = id;
	}

	Result run() throws IOException, CorruptStorageException {
		List<String> names = this.files.list(this.layout.folder());
		SyncMark mark = readMark(names);
		List<Long> numbers = StoreLayout.segments(names);
		checkNumbers(numbers, mark);
		for (long number : numbers) {
			boolean last = number == numbers.get(numbers.size() - 1);
			readSegment(number, last, (number == mark.segment()) ? mark.offset() : 0);
		}
		if (!this.replay.whole()) {
			throw StoreErrors.corrupt(this.layout.segment(numbers.get(0) - 1), 0,
					"entries between the snapshot and the first segment are missing");
		}
		Optional<Snapshot> snapshot = readSnapshot(names);
		LogState log = this.replay.state();
		StoredState state = new StoredState(this.id, log.hardState(), snapshot, this.replay.entriesAfterSnapshot());
		return new Result(state, log, this.segments, this.end, this.torn);
	}

	private SyncMark readMark(List<String> names) throws IOException, CorruptStorageException {
		if (!names.contains(StoreLayout.MARK)) {
			throw StoreErrors.corrupt(this.layout.mark(), 0, "the file is missing");
		}
		return SyncMark.decode(this.files.read(this.layout.mark(), SyncMark.MAX_BYTES))
			.orElseThrow(() -> StoreErrors.corrupt(this.layout.mark(), 0, "the checksum doesn't match"));
	}

	private void checkNumbers(List<Long> numbers, SyncMark mark) throws CorruptStorageException {
		if (!numbers.contains(mark.segment())) {
			throw StoreErrors.corrupt(this.layout.segment(mark.segment()), 0, "the segment is missing");
		}
		for (int i = 1; i < numbers.size(); i++) {
			long expected = numbers.get(i - 1) + 1;
			if (numbers.get(i) != expected) {
				throw StoreErrors.corrupt(this.layout.segment(expected), 0, "the segment is missing");
			}
		}
		long last = numbers.get(numbers.size() - 1);
		if (last > mark.segment() + 1) {
			throw StoreErrors.corrupt(this.layout.mark(), 0, "the mark is older than segment " + last);
		}
	}

	private void readSegment(long number, boolean last, long synced) throws IOException, CorruptStorageException {
		Path file = this.layout.segment(number);
		byte[] data = this.files.read(file, this.limits.largestSegment());
		if (data.length > this.limits.largestSegment()) {
			throw StoreErrors.corrupt(file, data.length, "the segment is larger than any that is written");
		}
		int offset = readHeader(number, file, data);
		long highest = 0;
		while (offset < data.length) {
			Optional<StoredBatch> batch = StoredBatch.decode(data, offset);
			if (batch.isEmpty()) {
				checkTorn(file, data, offset, last);
				break;
			}
			Optional<String> problem = this.replay.apply(batch.get());
			if (problem.isPresent()) {
				throw StoreErrors.corrupt(file, offset, problem.get());
			}
			highest = Math.max(highest, highestIndex(batch.get()));
			offset += Block.sizeAt(data, offset);
		}
		if (offset < synced) {
			throw StoreErrors.corrupt(file, offset, "an acknowledged batch is damaged or missing");
		}
		this.segments.put(number, highest);
		this.end = offset;
	}

	private int readHeader(long number, Path file, byte[] data) throws CorruptStorageException {
		SegmentHeader header = SegmentHeader.decode(data)
			.filter((found) -> found.id().equals(this.id) && found.number() == number)
			.orElseThrow(() -> StoreErrors.corrupt(file, 0, "the segment's header is damaged"));
		if (this.replay == null) {
			this.replay = new LogReplay(header.start());
		}
		else if (!this.replay.state().equals(header.start())) {
			throw StoreErrors.corrupt(file, 0, "the segment doesn't follow the one before it");
		}
		return Block.sizeAt(data, 0);
	}

	private void checkTorn(Path file, byte[] data, int offset, boolean last) throws CorruptStorageException {
		if (!last) {
			throw StoreErrors.corrupt(file, offset, "a batch is damaged although a later segment exists");
		}
		long expected = this.replay.state().sequence() + 1;
		// A batch is written only after the one before it is synced, so an intact later
		// batch proves that the damaged one was acknowledged.
		for (int i = offset + 1; i < data.length - Block.OVERHEAD; i++) {
			if (StoredBatch.decode(data, i).filter((batch) -> batch.sequence() > expected).isPresent()) {
				throw StoreErrors.corrupt(file, offset, "a damaged batch is followed by an intact one");
			}
		}
		this.torn = true;
	}

	private Optional<Snapshot> readSnapshot(List<String> names) throws IOException, CorruptStorageException {
		SnapshotRef expected = this.replay.state().snapshot();
		Optional<Long> newer = StoreLayout.snapshots(names)
			.stream()
			.filter((index) -> index > expected.index())
			.findFirst();
		if (newer.isPresent()) {
			throw StoreErrors.corrupt(this.layout.snapshot(newer.get()), 0,
					"the log is older than this snapshot and knows only snapshot " + expected.index());
		}
		if (expected.index() == 0) {
			return Optional.empty();
		}
		Path file = StoreLayout.snapshots(names).contains(expected.index()) ? this.layout.snapshot(expected.index())
				: this.layout.pendingSnapshot(expected.index());
		if (!names.contains(file.getFileName().toString())) {
			throw StoreErrors.corrupt(this.layout.snapshot(expected.index()), 0, "the snapshot is missing");
		}
		byte[] data = this.files.read(file, (long) this.limits.snapshot() + Block.OVERHEAD);
		Optional<Snapshot> snapshot = Block.decodeWhole(data, Block.Type.SNAPSHOT)
			.flatMap((block) -> Formats.decodeSnapshot(this.id, block.body()))
			.filter((found) -> found.index() == expected.index() && found.term() == expected.term());
		if (snapshot.isEmpty()) {
			throw StoreErrors.corrupt(file, 0, "the snapshot's checksum or identity doesn't match");
		}
		return snapshot;
	}

	static long highestIndex(StoredBatch batch) {
		return batch.entries().stream().mapToLong(LogEntry::index).max().orElse(0);
	}

	/**
	 * What a data folder holds.
	 *
	 * @param state the replica's state
	 * @param log the log's state
	 * @param segments the highest entry index of each segment by its number
	 * @param end the end of the last intact batch in the last segment
	 * @param torn whether bytes of an unacknowledged batch follow
	 */
	record Result(StoredState state, LogState log, SortedMap<Long, Long> segments, long end, boolean torn) {
	}

}

package org.redwingramp.storage.internal;

import java.io.IOException;
import java.nio.file.Path;

import org.redwingramp.core.consensus.ReplicaId;

/**
 * Appends batches to the last segment of the log and updates the sync marks. Invariant:
 * no sync mark refers to a position that is not synced. Not thread safe.
 */
final class SegmentWriter implements AutoCloseable {

	private final StoreFiles files;

	private final StoreLayout layout;

	private final StoreFiles.Output recentMarkOutput;

	private StoreFiles.Output segmentOutput;

	private long segmentNumber;

	private long endOffset;

	// The last position of the log that is known to be synced.
	private SyncMark synced;

	private SyncMark durableMark;

	SegmentWriter(StoreFiles files, StoreLayout layout, long segmentNumber, long endOffset) throws IOException {
		this.files = files;
		this.layout = layout;
		this.segmentNumber = segmentNumber;
		this.endOffset = endOffset;
		this.recentMarkOutput = files.openForWriting(layout.recentSyncMark());
		this.segmentOutput = files.openForWriting(layout.segment(segmentNumber));
	}

	/**
	 * Truncates a torn tail and syncs the last segment and the folder, since batches and
	 * file names that recovery read from the page cache may not be on the disk yet.
	 * @param tornTail whether bytes follow the last intact batch
	 * @throws IOException if the segment can't be truncated or synced
	 */
	void repairTail(boolean tornTail) throws IOException {
		if (tornTail) {
			this.segmentOutput.truncate(this.endOffset);
		}
		this.segmentOutput.sync();
		this.files.syncFolder(this.layout.folder());
		this.synced = new SyncMark(this.segmentNumber, this.endOffset);
		writeDurableMark();
	}

	long segmentNumber() {
		return this.segmentNumber;
	}

	long endOffset() {
		return this.endOffset;
	}

	/**
	 * Makes the sync mark durable. Must precede the deletion of segments, so that after a
	 * power loss the mark doesn't refer to a deleted segment.
	 * @throws IOException if it can't be written
	 */
	void writeDurableMark() throws IOException {
		if (!this.synced.equals(this.durableMark)) {
			writeFileAtomically(this.files, this.layout.syncMark(), this.synced.encode());
			this.durableMark = this.synced;
		}
	}

	void append(Frame frame) throws IOException {
		this.segmentOutput.write(frame.encode(), this.endOffset);
		this.segmentOutput.sync();
		this.endOffset += frame.encodedSize();
		this.synced = new SyncMark(this.segmentNumber, this.endOffset);
		this.recentMarkOutput.write(this.synced.encode().encode(), 0);
	}

	/**
	 * Starts the next segment. The sync mark is made durable first, so that it is at most
	 * one segment behind. The header is synced before the file gets its final name, so
	 * that every segment has a header.
	 * @param id the replica that owns the log
	 * @param state the state of the log at the start of the segment
	 * @throws IOException if the segment can't be created
	 */
	void roll(ReplicaId id, LogState state) throws IOException {
		writeDurableMark();
		this.segmentOutput.close();
		this.segmentNumber++;
		this.endOffset = createSegment(this.files, this.layout, new SegmentHeader(id, this.segmentNumber, state));
		this.segmentOutput = this.files.openForWriting(this.layout.segment(this.segmentNumber));
	}

	/**
	 * Creates a segment that holds only its header.
	 * @param files the file operations
	 * @param layout the paths of the files
	 * @param header the header
	 * @return the segment's size in bytes
	 * @throws IOException if the segment can't be created
	 */
	static long createSegment(StoreFiles files, StoreLayout layout, SegmentHeader header) throws IOException {
		Frame frame = header.encode();
		writeFileAtomically(files, layout.segment(header.number()), frame);
		return frame.encodedSize();
	}

	/**
	 * Writes a file atomically: it gets its final name only once its content is synced.
	 * @param files the file operations
	 * @param file the file
	 * @param frame the content
	 * @throws IOException if it can't be written
	 */
	static void writeFileAtomically(StoreFiles files, Path file, Frame frame) throws IOException {
		Path temporary = file.resolveSibling(file.getFileName() + StoreLayout.TEMPORARY_SUFFIX);
		try (StoreFiles.Output output = files.openForWriting(temporary)) {
			output.truncate(0);
			output.write(frame.encode(), 0);
			output.sync();
		}
		files.rename(temporary, file);
		files.syncFolder(file.getParent());
	}

	@Override
	public void close() throws IOException {
		try (StoreFiles.Output segmentToClose = this.segmentOutput;
				StoreFiles.Output recentMarkToClose = this.recentMarkOutput) {
			if (this.synced != null) {
				writeDurableMark();
				this.files.delete(this.layout.recentSyncMark());
			}
		}
	}

}

package org.redwingramp.storage.internal;

import java.io.IOException;
import java.nio.file.Path;

import org.redwingramp.core.consensus.ReplicaId;

/**
 * Appends to the last segment and keeps the mark. Invariant: the mark never names a
 * position that is not synced. Not thread safe.
 */
final class SegmentWriter implements AutoCloseable {

	private final StoreFiles files;

	private final StoreLayout layout;

	private final StoreFiles.Output mark;

	private StoreFiles.Output segment;

	private long number;

	private long offset;

	SegmentWriter(StoreFiles files, StoreLayout layout, long number, long offset) throws IOException {
		this.files = files;
		this.layout = layout;
		this.number = number;
		this.offset = offset;
		this.mark = files.write(layout.mark());
		this.segment = files.write(layout.segment(number));
	}

	/**
	 * Removes a torn tail and syncs what was found, since batches and file names that
	 * were read may not be on the disk yet.
	 * @param torn whether bytes follow the last intact batch
	 * @throws IOException if the segment can't be cut or synced
	 */
	void settle(boolean torn) throws IOException {
		if (torn) {
			this.segment.truncate(this.offset);
		}
		this.segment.sync();
		this.files.syncFolder(this.layout.folder());
		moveMark();
		this.mark.sync();
	}

	long number() {
		return this.number;
	}

	long offset() {
		return this.offset;
	}

	/**
	 * Syncs the mark, so that it doesn't fall back to a segment that is deleted next.
	 * @throws IOException if it can't be synced
	 */
	void syncMark() throws IOException {
		this.mark.sync();
	}

	void append(Block block) throws IOException {
		this.segment.write(block.encode(), this.offset);
		this.segment.sync();
		this.offset += block.size();
		moveMark();
	}

	/**
	 * Begins the next segment. The mark is synced before, so that it lies at most one
	 * segment behind. The header is synced before the segment gets its name, so that a
	 * named segment always has a header.
	 * @param id the replica
	 * @param state the log's state
	 * @throws IOException if the segment can't be created
	 */
	void roll(ReplicaId id, LogState state) throws IOException {
		this.mark.sync();
		this.segment.close();
		this.number++;
		this.offset = create(this.files, this.layout, new SegmentHeader(id, this.number, state));
		this.segment = this.files.write(this.layout.segment(this.number));
	}

	/**
	 * Creates a segment that holds a header only.
	 * @param files the file operations
	 * @param layout the file names
	 * @param header the header
	 * @return the segment's size in bytes
	 * @throws IOException if the segment can't be created
	 */
	static long create(StoreFiles files, StoreLayout layout, SegmentHeader header) throws IOException {
		Block block = header.encode();
		writeFile(files, layout.segment(header.number()), block);
		return block.size();
	}

	/**
	 * Writes a file that appears only once it is synced.
	 * @param files the file operations
	 * @param file the file
	 * @param block the content
	 * @throws IOException if it can't be written
	 */
	static void writeFile(StoreFiles files, Path file, Block block) throws IOException {
		Path temporary = file.resolveSibling(file.getFileName() + StoreLayout.TEMPORARY);
		try (StoreFiles.Output output = files.write(temporary)) {
			output.truncate(0);
			output.write(block.encode(), 0);
			output.sync();
		}
		files.rename(temporary, file);
		files.syncFolder(file.getParent());
	}

	private void moveMark() throws IOException {
		this.mark.write(new SyncMark(this.number, this.offset).encode().encode(), 0);
	}

	@Override
	public void close() throws IOException {
		try (StoreFiles.Output first = this.segment; StoreFiles.Output second = this.mark) {
			second.sync();
		}
	}

}

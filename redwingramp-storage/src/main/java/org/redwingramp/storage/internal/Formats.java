package org.redwingramp.storage.internal;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInput;
import java.io.DataInputStream;
import java.io.DataOutput;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.redwingramp.core.consensus.HardState;
import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.Membership;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.Snapshot;

/**
 * Encodes and decodes the payloads of the stored frames. The formats are durable: a
 * change needs a new {@link #VERSION}. Stateless and thread safe.
 */
final class Formats {

	/** The version of all file formats in a data folder. */
	static final int VERSION = 1;

	/** The encoded size of an entry with an empty payload. */
	private static final int MIN_ENTRY_BYTES = 29;

	private Formats() {
	}

	static byte[] encode(Writer writer) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try {
			writer.write(new DataOutputStream(bytes));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Failed to encode into a memory buffer", ex);
		}
		return bytes.toByteArray();
	}

	/**
	 * Decodes a payload.
	 * @param <T> the type of the value
	 * @param payload the payload
	 * @param reader decodes the value
	 * @return the value, or empty if the payload is not exactly one valid value
	 */
	static <T> Optional<T> decode(byte[] payload, Reader<T> reader) {
		DataInputStream input = new DataInputStream(new ByteArrayInputStream(payload));
		try {
			T value = reader.read(input);
			return (input.available() == 0) ? Optional.of(value) : Optional.empty();
		}
		catch (IOException | IllegalArgumentException | ArrayIndexOutOfBoundsException ex) {
			return Optional.empty();
		}
	}

	static void writeHardState(DataOutput output, HardState state) throws IOException {
		output.writeLong(state.term());
		output.writeBoolean(state.votedFor().isPresent());
		if (state.votedFor().isPresent()) {
			writeId(output, state.votedFor().get());
		}
	}

	static HardState readHardState(DataInput input) throws IOException {
		long term = input.readLong();
		return new HardState(term, input.readBoolean() ? Optional.of(readId(input)) : Optional.empty());
	}

	static void writeId(DataOutput output, ReplicaId id) throws IOException {
		output.writeUTF(id.name());
		output.writeLong(id.incarnation());
	}

	static ReplicaId readId(DataInput input) throws IOException {
		return new ReplicaId(input.readUTF(), input.readLong());
	}

	static void writeEntries(DataOutput output, List<LogEntry> entries) throws IOException {
		output.writeInt(entries.size());
		for (LogEntry entry : entries) {
			output.writeLong(entry.index());
			output.writeLong(entry.term());
			output.writeByte(entry.kind().ordinal());
			output.writeLong(entry.clockMillis());
			writeBytes(output, entry.payload());
		}
	}

	static List<LogEntry> readEntries(DataInputStream input) throws IOException {
		int count = input.readInt();
		if (count < 0 || count > input.available() / MIN_ENTRY_BYTES) {
			throw new IOException("Invalid number of entries: " + count);
		}
		List<LogEntry> entries = new ArrayList<>(count);
		for (int i = 0; i < count; i++) {
			entries.add(new LogEntry(input.readLong(), input.readLong(), LogEntry.Kind.values()[input.readByte()],
					input.readLong(), readBytes(input)));
		}
		return entries;
	}

	static byte[] encodeSnapshot(ReplicaId id, Snapshot snapshot) {
		return encode((output) -> {
			output.writeInt(VERSION);
			writeId(output, id);
			output.writeLong(snapshot.index());
			output.writeLong(snapshot.term());
			output.writeLong(snapshot.clockMillis());
			writeBytes(output, snapshot.membership().encode());
			writeBytes(output, snapshot.state());
		});
	}

	static Optional<Snapshot> decodeSnapshot(ReplicaId id, byte[] payload) {
		return decode(payload, (input) -> {
			if (input.readInt() != VERSION || !readId(input).equals(id)) {
				throw new IOException("Snapshot belongs to another replica or has another format version");
			}
			return new Snapshot(input.readLong(), input.readLong(), input.readLong(),
					Membership.decode(readBytes(input)), readBytes(input));
		});
	}

	private static void writeBytes(DataOutput output, byte[] bytes) throws IOException {
		output.writeInt(bytes.length);
		output.write(bytes);
	}

	private static byte[] readBytes(DataInputStream input) throws IOException {
		int length = input.readInt();
		if (length < 0 || length > input.available()) {
			throw new IOException("Invalid length of a byte array: " + length);
		}
		return input.readNBytes(length);
	}

	/** Encodes one value. */
	interface Writer {

		void write(DataOutputStream output) throws IOException;

	}

	/**
	 * Decodes one value.
	 *
	 * @param <T> the type of the value
	 */
	interface Reader<T> {

		T read(DataInputStream input) throws IOException;

	}

}

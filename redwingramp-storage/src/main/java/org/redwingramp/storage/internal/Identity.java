package org.redwingramp.storage.internal;

import java.util.Optional;

import org.redwingramp.core.consensus.ReplicaId;

/**
 * The identity of a data folder: its format version and the replica that owns it.
 * Immutable and thread safe.
 *
 * @param version the version of the file formats in the folder
 * @param id the replica's name and the incarnation that was generated for the folder
 */
record Identity(int version, ReplicaId id) {

	/** The maximum size of the file; the encoded name is limited to 64 KiB. */
	static final int MAX_BYTES = 128 * 1024;

	Frame encode() {
		return new Frame(Frame.Type.IDENTITY, Formats.encode((output) -> {
			output.writeInt(this.version);
			Formats.writeId(output, this.id);
		}));
	}

	static Optional<Identity> decode(byte[] data) {
		return Frame.decodeSingle(data, Frame.Type.IDENTITY)
			.flatMap((frame) -> Formats.decode(frame.payload(),
					(input) -> new Identity(input.readInt(), Formats.readId(input))));
	}

}

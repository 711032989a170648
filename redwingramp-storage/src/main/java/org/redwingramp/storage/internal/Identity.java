package org.redwingramp.storage.internal;

import java.util.Optional;

import org.redwingramp.core.consensus.ReplicaId;

/**
 * Whose data folder it is. Immutable and thread safe.
 *
 * @param version the version of the formats in the folder
 * @param id the replica with the folder's incarnation
 */
record Identity(int version, ReplicaId id) {

	/** The largest size that is read, in bytes; a name has at most 64 KiB. */
	static final int MAX_BYTES = 128 * 1024;

	Block encode() {
		return new Block(Block.Type.IDENTITY, Formats.encode((output) -> {
			output.writeInt(this.version);
			Formats.writeId(output, this.id);
		}));
	}

	static Optional<Identity> decode(byte[] data) {
		return Block.decodeWhole(data, Block.Type.IDENTITY)
			.flatMap((block) -> Formats.decode(block.body(),
					(input) -> new Identity(input.readInt(), Formats.readId(input))));
	}

}

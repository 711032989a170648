package org.redwingramp.wire.internal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

import javax.crypto.Mac;

import org.redwingramp.wire.LocalPeer;
import org.redwingramp.wire.SharedKey;
import org.redwingramp.wire.generated.Envelope;

/**
 * Signs and checks the envelopes of one connection. The key is derived from the shared
 * key and both nonces, so a frame of one connection is invalid on every other one; the
 * direction is signed too, so a frame can't be sent back to its sender. Not thread safe.
 */
public final class Session {

	/** The size of a nonce in bytes. */
	public static final int NONCE_BYTES = 32;

	private static final byte[] LABEL = "redwingramp peer 1".getBytes(StandardCharsets.US_ASCII);

	private static final int FIXED_BYTES = 1 + 8 + 8 + 4 + 4 + 8 + 4 + 4 + 4;

	private final LocalPeer self;

	private final Mac mac;

	private final boolean client;

	private Session(LocalPeer self, SharedKey key, boolean client) {
		this.self = self;
		this.mac = key.mac();
		this.client = client;
	}

	static Session client(LocalPeer self, byte[] clientNonce, byte[] serverNonce) {
		return new Session(self, self.key().derive(LABEL, clientNonce, serverNonce), true);
	}

	static Session server(LocalPeer self, byte[] clientNonce, byte[] serverNonce) {
		return new Session(self, self.key().derive(LABEL, clientNonce, serverNonce), false);
	}

	Envelope seal(long sequence, int kind, int status, long timeoutMillis, byte[] payload) {
		// The generated constructor would copy the payload.
		Envelope envelope = new Envelope();
		envelope.clusterId = this.self.clusterId().get();
		envelope.sender = this.self.name();
		envelope.payload = ByteBuffer.wrap(payload);
		envelope.setIncarnation(this.self.incarnation()).setSequence(sequence);
		envelope.setKind(kind).setStatus(status).setTimeoutMillis(timeoutMillis);
		envelope.mac = ByteBuffer.wrap(sign(envelope, this.client));
		return envelope;
	}

	/**
	 * Checks an envelope from the other end.
	 * @param envelope the envelope
	 * @return whether the other end signed it on this connection
	 */
	boolean authentic(Envelope envelope) {
		byte[] expected = sign(envelope, !this.client);
		return MessageDigest.isEqual(expected, bytes(envelope.mac));
	}

	/**
	 * Returns whether the peer belongs to another cluster than this daemon.
	 * @param envelope an authentic envelope
	 * @return whether both have a cluster and these differ
	 */
	boolean otherCluster(Envelope envelope) {
		String own = this.self.clusterId().get();
		return !own.isEmpty() && !envelope.clusterId.isEmpty() && !own.equals(envelope.clusterId);
	}

	private byte[] sign(Envelope envelope, boolean fromClient) {
		byte[] cluster = envelope.clusterId.getBytes(StandardCharsets.UTF_8);
		byte[] sender = envelope.sender.getBytes(StandardCharsets.UTF_8);
		ByteBuffer fields = ByteBuffer.allocate(FIXED_BYTES + cluster.length + sender.length);
		fields.put((byte) (fromClient ? 1 : 2)).putInt(cluster.length).put(cluster);
		fields.putInt(sender.length).put(sender);
		fields.putLong(envelope.incarnation).putLong(envelope.sequence).putInt(envelope.kind).putInt(envelope.status);
		fields.putLong(envelope.timeoutMillis).putInt(envelope.payload.remaining());
		this.mac.update(fields.array());
		this.mac.update(envelope.payload.duplicate());
		return this.mac.doFinal();
	}

	static byte[] bytes(ByteBuffer buffer) {
		byte[] bytes = new byte[buffer.remaining()];
		buffer.duplicate().get(bytes);
		return bytes;
	}

}

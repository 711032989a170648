package org.redwingramp.wire.internal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

import javax.crypto.Mac;

import org.redwingramp.wire.LocalPeer;
import org.redwingramp.wire.SharedKey;
import org.redwingramp.wire.generated.Envelope;

/**
 * Signs and verifies the envelopes of one connection. The key is derived from the shared
 * key and the nonces of both peers, so a frame of one connection is invalid on every
 * other connection. The direction is part of the signed data, so a frame can't be
 * reflected to its sender. Not thread safe.
 */
public final class Session {

	/** The size of a nonce in bytes. */
	public static final int NONCE_BYTES = 32;

	private static final byte[] KEY_LABEL = "redwingramp peer 1".getBytes(StandardCharsets.US_ASCII);

	private static final int FIXED_FIELD_BYTES = 1 + 8 + 8 + 4 + 4 + 8 + 4 + 4 + 4;

	private final LocalPeer self;

	private final Mac mac;

	private final boolean client;

	private Session(LocalPeer self, SharedKey key, boolean client) {
		this.self = self;
		this.mac = key.mac();
		this.client = client;
	}

	static Session client(LocalPeer self, byte[] clientNonce, byte[] serverNonce) {
		return new Session(self, self.key().derive(KEY_LABEL, clientNonce, serverNonce), true);
	}

	static Session server(LocalPeer self, byte[] clientNonce, byte[] serverNonce) {
		return new Session(self, self.key().derive(KEY_LABEL, clientNonce, serverNonce), false);
	}

	Envelope signedEnvelope(long sequence, int kind, int status, long timeoutMillis, byte[] payload) {
		// Sets the fields directly, since the generated constructor copies the payload.
		Envelope envelope = new Envelope();
		envelope.clusterId = this.self.clusterId().get();
		envelope.sender = this.self.name();
		envelope.payload = ByteBuffer.wrap(payload);
		envelope.setIncarnation(this.self.incarnation()).setSequence(sequence);
		envelope.setKind(kind).setStatus(status).setTimeoutMillis(timeoutMillis);
		envelope.mac = ByteBuffer.wrap(computeMac(envelope, this.client));
		return envelope;
	}

	/**
	 * Verifies the MAC of a received envelope.
	 * @param envelope the envelope
	 * @return whether the peer signed it on this connection
	 */
	boolean isAuthentic(Envelope envelope) {
		byte[] expected = computeMac(envelope, !this.client);
		return MessageDigest.isEqual(expected, toBytes(envelope.mac));
	}

	/**
	 * Returns whether the peer belongs to another cluster than this daemon.
	 * @param envelope an envelope with a valid MAC
	 * @return whether both belong to a cluster and these clusters differ
	 */
	boolean isFromOtherCluster(Envelope envelope) {
		String own = this.self.clusterId().get();
		return !own.isEmpty() && !envelope.clusterId.isEmpty() && !own.equals(envelope.clusterId);
	}

	private byte[] computeMac(Envelope envelope, boolean fromClient) {
		byte[] cluster = envelope.clusterId.getBytes(StandardCharsets.UTF_8);
		byte[] sender = envelope.sender.getBytes(StandardCharsets.UTF_8);
		ByteBuffer fields = ByteBuffer.allocate(FIXED_FIELD_BYTES + cluster.length + sender.length);
		fields.put((byte) (fromClient ? 1 : 2)).putInt(cluster.length).put(cluster);
		fields.putInt(sender.length).put(sender);
		fields.putLong(envelope.incarnation).putLong(envelope.sequence).putInt(envelope.kind).putInt(envelope.status);
		fields.putLong(envelope.timeoutMillis).putInt(envelope.payload.remaining());
		this.mac.update(fields.array());
		this.mac.update(envelope.payload.duplicate());
		return this.mac.doFinal();
	}

	static byte[] toBytes(ByteBuffer buffer) {
		byte[] bytes = new byte[buffer.remaining()];
		buffer.duplicate().get(bytes);
		return bytes;
	}

}

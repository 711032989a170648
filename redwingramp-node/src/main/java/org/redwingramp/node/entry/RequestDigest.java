package org.redwingramp.node.entry;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Base64;

import org.redwingramp.node.api.RequestFields;
import org.redwingramp.node.http.HttpRequest;

/**
 * Computes a digest that identifies a request when it comes again with another
 * identifier: of its method, host, target, key and body. Stateless and thread safe.
 */
final class RequestDigest {

	/**
	 * The number of bytes at each end of a body that are included, so that a large upload
	 * doesn't block the event loop.
	 */
	private static final int MAX_BODY_PART_BYTES = 32 * 1024;

	private static final int DIGEST_BYTES = 12;

	private RequestDigest() {
	}

	// A cryptographic hash, so that nobody can build a request that is mistaken for
	// another one.
	static String of(HttpRequest request, RequestFields fields) {
		MessageDigest digest = sha256();
		addText(digest, request.method());
		addText(digest, fields.host());
		addText(digest, request.target());
		addText(digest, String.valueOf(fields.key().orElse(-1)));
		byte[] body = request.body();
		digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(body.length).flip());
		if (body.length <= 2 * MAX_BODY_PART_BYTES) {
			digest.update(body);
		}
		else {
			digest.update(body, 0, MAX_BODY_PART_BYTES);
			digest.update(body, body.length - MAX_BODY_PART_BYTES, MAX_BODY_PART_BYTES);
		}
		return Base64.getUrlEncoder().encodeToString(Arrays.copyOf(digest.digest(), DIGEST_BYTES));
	}

	private static void addText(MessageDigest digest, String text) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
		digest.update(bytes);
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("each Java platform has SHA-256", ex);
		}
	}

}

package org.redwingramp.daemon.internal.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

import org.redwingramp.daemon.internal.route.Problem;
import org.redwingramp.daemon.internal.route.RequestRefusedException;

/**
 * Reads request bodies within a limit of size and time. Stateless and thread safe.
 *
 * <p>
 * Invariant: only complete bodies are returned.
 */
final class BoundedBody {

	private static final long READ_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final int CHUNK_BYTES = 16 * 1024;

	// Closing a connection that has unread bytes resets it, and the caller may lose the
	// response with the refusal. So up to this many bytes over the limit are read and
	// discarded.
	private static final int MAX_DISCARDED_BYTES = 8 * 1024 * 1024;

	private BoundedBody() {
	}

	static byte[] read(Request request, int maxBytes) throws RequestRefusedException {
		long deadline = System.nanoTime() + READ_TIMEOUT_NANOS;
		ByteArrayOutputStream body = new ByteArrayOutputStream(
				(int) Math.max(0, Math.min(request.getLength(), maxBytes)));
		byte[] chunk = new byte[CHUNK_BYTES];
		long total = 0;
		try (InputStream input = Content.Source.asInputStream(request)) {
			for (int count = input.read(chunk); count >= 0; count = input.read(chunk)) {
				total += count;
				if (total <= maxBytes) {
					body.write(chunk, 0, count);
				}
				checkLimits(total, maxBytes, deadline);
			}
		}
		catch (IOException ex) {
			throw new RequestRefusedException(Problem.BODY_INCOMPLETE, String.valueOf(ex.getMessage()));
		}
		if (total > maxBytes) {
			throw tooLarge(maxBytes);
		}
		return body.toByteArray();
	}

	private static void checkLimits(long total, int maxBytes, long deadline) throws RequestRefusedException {
		if (total > (long) maxBytes + MAX_DISCARDED_BYTES) {
			throw tooLarge(maxBytes);
		}
		if (System.nanoTime() > deadline) {
			throw new RequestRefusedException(Problem.BODY_INCOMPLETE,
					"the body did not arrive within " + TimeUnit.NANOSECONDS.toSeconds(READ_TIMEOUT_NANOS) + " s");
		}
	}

	private static RequestRefusedException tooLarge(int maxBytes) {
		return new RequestRefusedException(Problem.BODY_TOO_LARGE, "the body must not exceed " + maxBytes + " bytes");
	}

}

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
 * Reads request bodies up to a limit of size and time. Stateless and thread safe.
 *
 * <p>
 * Invariant: a body is returned only as a whole.
 */
final class BoundedBody {

	private static final long READ_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final int CHUNK_BYTES = 16 * 1024;

	// A connection that is closed with unread bytes is reset, and the caller may lose the
	// refusal. So somewhat larger bodies are read and thrown away.
	private static final int MAX_DISCARDED_BYTES = 8 * 1024 * 1024;

	private BoundedBody() {
	}

	static byte[] read(Request request, int maxBytes) throws RequestRefusedException {
		long end = System.nanoTime() + READ_NANOS;
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
				checkBounds(total, maxBytes, end);
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

	private static void checkBounds(long total, int maxBytes, long end) throws RequestRefusedException {
		if (total > (long) maxBytes + MAX_DISCARDED_BYTES) {
			throw tooLarge(maxBytes);
		}
		if (System.nanoTime() > end) {
			throw new RequestRefusedException(Problem.BODY_INCOMPLETE,
					"the body did not arrive within " + TimeUnit.NANOSECONDS.toSeconds(READ_NANOS) + " s");
		}
	}

	private static RequestRefusedException tooLarge(int maxBytes) {
		return new RequestRefusedException(Problem.BODY_TOO_LARGE, "at most " + maxBytes + " bytes are allowed");
	}

}

package org.redwingramp.daemon.internal.http;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

import org.redwingramp.daemon.internal.route.Problem;
import org.redwingramp.daemon.internal.route.RequestRefusedException;

/**
 * Reads request bodies up to a limit of size and time. Stateless and thread safe.
 */
final class BoundedBody {

	private static final long READ_SECONDS = 10;

	private BoundedBody() {
	}

	static byte[] read(Request request, int maxBytes) throws RequestRefusedException {
		if (request.getLength() > maxBytes) {
			throw new RequestRefusedException(Problem.BODY_TOO_LARGE,
					request.getLength() + " bytes, but at most " + maxBytes + " are allowed");
		}
		try {
			return Content.Source.asByteArrayAsync(request, maxBytes).get(READ_SECONDS, TimeUnit.SECONDS);
		}
		catch (ExecutionException ex) {
			throw refusal(ex.getCause(), maxBytes);
		}
		catch (TimeoutException ex) {
			throw new RequestRefusedException(Problem.BODY_INCOMPLETE,
					"the body did not arrive within " + READ_SECONDS + " s");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new RequestRefusedException(Problem.STOPPING, "interrupted while reading the body");
		}
	}

	private static RequestRefusedException refusal(Throwable cause, int maxBytes) {
		if (cause instanceof IllegalStateException) {
			return new RequestRefusedException(Problem.BODY_TOO_LARGE, "at most " + maxBytes + " bytes are allowed");
		}
		return new RequestRefusedException(Problem.BODY_INCOMPLETE, String.valueOf(cause));
	}

}

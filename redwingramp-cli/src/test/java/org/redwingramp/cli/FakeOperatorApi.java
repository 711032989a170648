package org.redwingramp.cli;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;

/**
 * An HTTP server for the operator API that sends prepared replies. Replies for the same
 * method and path are sent in order; the last one is repeated. Thread safe.
 */
class FakeOperatorApi extends Handler.Abstract implements AutoCloseable {

	static final String TOKEN = "Sekrit-operator-token";

	final List<String> requests = new CopyOnWriteArrayList<>();

	final List<String> bodies = new CopyOnWriteArrayList<>();

	private final Map<String, Deque<Reply>> replies = new ConcurrentHashMap<>();

	private final Server server = new Server();

	private final ServerConnector connector = new ServerConnector(this.server, 1, 1);

	FakeOperatorApi() throws Exception {
		this.connector.setHost("127.0.0.1");
		this.server.addConnector(this.connector);
		this.server.setHandler(this);
		this.server.start();
	}

	String endpoint() {
		return "127.0.0.1:" + this.connector.getLocalPort();
	}

	FakeOperatorApi reply(String route, int status, String body) {
		return reply(route, new Reply(status, body, -1, false));
	}

	FakeOperatorApi refuse(String route, int status, String code, String outcome) {
		return reply(route, status, """
				{"code": "%s", "outcome": "%s", "detail": "because of %s", "findings": []}""".formatted(code, outcome,
				code));
	}

	FakeOperatorApi closeConnection(String route) {
		return reply(route, new Reply(200, "", -1, true));
	}

	FakeOperatorApi reply(String route, Reply reply) {
		this.replies.computeIfAbsent(route, (key) -> new ArrayDeque<>()).add(reply);
		return this;
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) throws Exception {
		String route = request.getMethod() + " " + request.getHttpURI().getPath();
		String query = request.getHttpURI().getQuery();
		this.requests
			.add(route + ((query != null) ? "?" + query : "") + " " + request.getHeaders().get("Redwingramp-Intent"));
		this.bodies.add(Content.Source.asString(request, StandardCharsets.UTF_8));
		Deque<Reply> queue = this.replies.getOrDefault(route, new ArrayDeque<>());
		Reply reply;
		synchronized (queue) {
			reply = (queue.size() > 1) ? queue.poll() : queue.peek();
		}
		if (!("Bearer " + TOKEN).equals(request.getHeaders().get(HttpHeader.AUTHORIZATION))) {
			reply = new Reply(401, "{\"code\": \"unauthorized\", \"outcome\": \"not-run\"}", -1, false);
		}
		if (reply == null || reply.drop()) {
			request.getConnectionMetaData().getConnection().getEndPoint().close();
			callback.succeeded();
			return true;
		}
		write(reply, response, callback);
		return true;
	}

	private static void write(Reply reply, Response response, Callback callback) {
		byte[] body = reply.body().getBytes(StandardCharsets.UTF_8);
		response.setStatus(reply.status());
		response.getHeaders()
			.put(HttpHeader.CONTENT_TYPE, (reply.status() == 200) ? "application/json" : "application/problem+json");
		if (reply.truncateAt() >= 0) {
			response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
			body = Arrays.copyOf(body, reply.truncateAt());
			response.write(false, ByteBuffer.wrap(body),
					Callback.from(() -> callback.failed(new IllegalStateException("truncated"))));
			return;
		}
		response.write(true, ByteBuffer.wrap(body), callback);
	}

	@Override
	public void close() throws Exception {
		this.server.stop();
	}

	/**
	 * A prepared reply.
	 *
	 * @param status the HTTP status
	 * @param body the JSON body
	 * @param truncateAt the number of body bytes after which the connection is closed, or
	 * -1 to send the whole body
	 * @param drop whether the connection is closed without a response
	 */
	record Reply(int status, String body, int truncateAt, boolean drop) {
	}

}

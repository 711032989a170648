package org.redwingramp.node.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

import org.redwingramp.node.loop.TcpConnection;
import org.redwingramp.node.loop.TcpHandler;

/**
 * A connection of a caller. It keeps reading while a request is handled, so that a close
 * by the caller is noticed at once. Invariant: one request is handled at a time, and
 * responses leave in the order of the requests. Not thread safe; it belongs to the loop's
 * thread.
 */
final class ServerConnection implements TcpHandler, HttpParser.RequestHandler {

	/** Pipelined bytes beyond this end the connection. */
	private static final int MAX_PIPELINED_BYTES = 256 * 1024;

	private static final int BAD_REQUEST = 400;

	private static final int TOO_LARGE = 413;

	private final HttpServer server;

	private final TcpConnection tcp;

	private final HttpLimits limits;

	private final HttpParser parser;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);

	private final ByteArrayOutputStream pipelined = new ByteArrayOutputStream(0);

	private List<Header> headers = new ArrayList<>();

	private String method = "";

	private String target = "";

	private boolean oldProtocol;

	private boolean complete;

	private boolean rejected;

	private boolean started;

	private Exchange current;

	private long activeNanos = System.nanoTime();

	ServerConnection(HttpServer server, TcpConnection tcp, HttpLimits limits) {
		this.server = server;
		this.tcp = tcp;
		this.limits = limits;
		this.parser = new HttpParser(this, limits.maxHeaderBytes(), HttpCompliance.RFC9110);
	}

	@Override
	public void received(ByteBuffer data) {
		this.activeNanos = System.nanoTime();
		if (this.current != null) {
			keep(data);
		}
		else {
			parse(data);
		}
	}

	@Override
	public void endOfStream() {
		end();
	}

	@Override
	public void failed(Exception cause) {
		end();
	}

	boolean busy() {
		return this.current != null;
	}

	void closeIfIdle() {
		if (this.current == null && !this.started) {
			this.tcp.closeAfterWrite();
			this.server.ended(this);
		}
	}

	void checkTimes(long now, HttpLimits currentLimits) {
		long idle = now - this.activeNanos;
		boolean slow = this.started && idle > this.limits.headerTimeoutNanos() * 2;
		if (this.current == null && (slow || (!this.started && idle > currentLimits.idleTimeoutNanos()))) {
			this.tcp.closeAfterWrite();
			this.server.ended(this);
		}
	}

	private void end() {
		this.tcp.close();
		this.server.ended(this);
		if (this.current != null) {
			this.current.abandon();
			this.current = null;
		}
	}

	private void keep(ByteBuffer data) {
		if (this.pipelined.size() + data.remaining() > MAX_PIPELINED_BYTES) {
			end();
			return;
		}
		byte[] bytes = new byte[data.remaining()];
		data.get(bytes);
		this.pipelined.writeBytes(bytes);
	}

	private void parse(ByteBuffer data) {
		while (data.hasRemaining() && !this.tcp.closed() && !this.rejected) {
			if (this.current != null) {
				keep(data);
				return;
			}
			this.parser.parseNext(data);
			if (this.complete) {
				this.complete = false;
				begin();
			}
		}
		if (this.rejected) {
			data.position(data.limit());
		}
	}

	private void begin() {
		HttpRequest request = new HttpRequest(this.method, this.target, this.headers, this.body.toByteArray());
		this.headers = new ArrayList<>();
		this.body.reset();
		this.current = new Exchange(request, System.nanoTime());
		this.server.handle(this.current);
	}

	private void finish(Exchange exchange, HttpResponse response) {
		if (this.current != exchange) {
			return;
		}
		this.current = null;
		this.started = false;
		this.activeNanos = System.nanoTime();
		boolean close = this.server.draining() || this.oldProtocol
				|| Header.lists(exchange.request().headers(), "Connection", "close");
		this.tcp.write(MessageText.response(response, close, exchange.request().method().equals("HEAD")));
		if (close) {
			this.tcp.closeAfterWrite();
			this.server.ended(this);
			return;
		}
		this.parser.reset();
		if (this.pipelined.size() > 0) {
			byte[] next = this.pipelined.toByteArray();
			this.pipelined.reset();
			parse(ByteBuffer.wrap(next));
		}
	}

	private void reject(int status) {
		if (!this.rejected) {
			this.rejected = true;
			this.tcp.write(MessageText.response(HttpResponse.empty(status), true, false));
			this.tcp.closeAfterWrite();
			this.server.ended(this);
		}
	}

	@Override
	public void startRequest(String requestMethod, String uri, HttpVersion version) {
		this.method = requestMethod;
		this.target = uri;
		this.oldProtocol = version != HttpVersion.HTTP_1_1;
	}

	@Override
	public void messageBegin() {
		this.started = true;
	}

	@Override
	public void parsedHeader(HttpField field) {
		this.headers.add(new Header(field.getName(), (field.getValue() != null) ? field.getValue() : ""));
	}

	@Override
	public boolean headerComplete() {
		if (Header.lists(this.headers, "Expect", "100-continue")) {
			this.tcp.write("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
		}
		return false;
	}

	@Override
	public boolean content(ByteBuffer data) {
		if (this.body.size() + data.remaining() > this.limits.maxBodyBytes()) {
			data.position(data.limit());
			reject(TOO_LARGE);
			return true;
		}
		byte[] bytes = new byte[data.remaining()];
		data.get(bytes);
		this.body.writeBytes(bytes);
		return false;
	}

	@Override
	public boolean contentComplete() {
		return false;
	}

	@Override
	public boolean messageComplete() {
		this.complete = !this.rejected;
		return true;
	}

	@Override
	public void earlyEOF() {
		end();
	}

	@Override
	public void badMessage(HttpException failure) {
		reject((failure.getCode() >= BAD_REQUEST) ? failure.getCode() : BAD_REQUEST);
	}

	/**
	 * One request. Not thread safe.
	 */
	private final class Exchange implements HttpExchange {

		private final HttpRequest request;

		private final long receivedNanos;

		private Runnable abandoned = () -> {
		};

		Exchange(HttpRequest request, long receivedNanos) {
			this.request = request;
			this.receivedNanos = receivedNanos;
		}

		@Override
		public HttpRequest request() {
			return this.request;
		}

		@Override
		public long receivedNanos() {
			return this.receivedNanos;
		}

		@Override
		public void respond(HttpResponse response) {
			finish(this, response);
		}

		@Override
		public void onAbandoned(Runnable action) {
			this.abandoned = action;
		}

		void abandon() {
			this.abandoned.run();
		}

	}

}

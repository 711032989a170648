package org.redwingramp.node.http;

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
 * An HTTP/1.1 server connection from a caller. It continues to read while a request is
 * handled, so that it detects at once when the caller closes the connection. Invariant:
 * one request is handled at a time, and responses are sent in the order of the requests.
 * Not thread safe; it is confined to the event loop's thread.
 */
final class ServerConnection implements TcpHandler, HttpParser.RequestHandler {

	/** A connection with more bytes of pipelined requests is closed. */
	private static final int MAX_PIPELINED_BYTES = 256 * 1024;

	private static final int BAD_REQUEST = 400;

	private static final int REQUEST_TIMEOUT = 408;

	private static final int CONTENT_TOO_LARGE = 413;

	private static final int INTERNAL_SERVER_ERROR = 500;

	private static final int SERVICE_UNAVAILABLE = 503;

	/**
	 * The retry delay for a request whose body doesn't fit into the memory, in seconds.
	 */
	private static final String BODY_RETRY_AFTER_SECONDS = "1";

	private final HttpServer server;

	private final TcpConnection tcp;

	private final HttpLimits limits;

	private final HttpParser parser;

	private final BodyBuffer body = new BodyBuffer();

	private final BodyBuffer pipelined = new BodyBuffer();

	// Memory reserved for the body of the current request.
	private long reservedBytes;

	private boolean lengthKnown;

	private List<Header> headers = new ArrayList<>();

	private String method = "";

	private String target = "";

	private boolean legacyProtocol;

	private boolean complete;

	private boolean rejected;

	private boolean requestStarted;

	private Exchange current;

	private boolean headComplete;

	private boolean responded;

	private long requestStartNanos;

	private long lastActivityNanos = System.nanoTime();

	ServerConnection(HttpServer server, TcpConnection tcp, HttpLimits limits) {
		this.server = server;
		this.tcp = tcp;
		this.limits = limits;
		this.parser = new HttpParser(this, limits.maxHeaderBytes(), HttpCompliance.RFC9110);
	}

	@Override
	public void received(ByteBuffer data) {
		this.lastActivityNanos = System.nanoTime();
		if (this.current != null) {
			bufferPipelined(data);
		}
		else {
			parse(data);
		}
	}

	@Override
	public void endOfStream() {
		closeAndAbandon();
	}

	@Override
	public void failed(Exception cause) {
		closeAndAbandon();
	}

	@Override
	public void writesEnded() {
		this.server.connectionClosed(this);
	}

	// Returns whether a request is in progress, or its response isn't written yet.
	boolean busy() {
		return this.current != null || this.tcp.queuedBytes() > 0;
	}

	// Closes the connection for a planned stop, unless a request has arrived. A caller
	// that has just connected is about to send one; its connection is closed with the
	// response.
	void closeIfIdle() {
		if (this.responded) {
			closeUnlessRequestArrived();
		}
	}

	// Serves a request that has arrived but wasn't read yet. Later bytes are left unread,
	// which tells the caller that its request wasn't read.
	private void closeUnlessRequestArrived() {
		this.tcp.readAvailable();
		if (this.current == null && !this.requestStarted && !this.tcp.closed()) {
			this.tcp.closeWithoutReading();
		}
	}

	void closeIfTimedOut(long now, HttpLimits currentLimits) {
		long idle = now - this.lastActivityNanos;
		long requestTimeout = this.limits.headerTimeoutNanos() * 2;
		// Bytes that arrive slowly one by one must not keep the connection open.
		if (this.requestStarted && !this.headComplete && now - this.requestStartNanos > requestTimeout) {
			reject(REQUEST_TIMEOUT);
			return;
		}
		boolean stalled = this.requestStarted && idle > requestTimeout;
		if (this.current == null && stalled) {
			releaseBody();
			this.tcp.closeAfterWrite();
		}
		else if (this.current == null && !this.requestStarted && idle > currentLimits.idleTimeoutNanos()) {
			closeUnlessRequestArrived();
		}
	}

	private void closeAndAbandon() {
		this.tcp.close();
		this.server.connectionClosed(this);
		releaseBody();
		releasePipelined();
		if (this.current != null) {
			this.current.abandon();
			this.current = null;
		}
	}

	private void bufferPipelined(ByteBuffer data) {
		int added = data.remaining();
		if (this.pipelined.size() + added > MAX_PIPELINED_BYTES
				|| !this.server.memory().reserve(this.pipelined.size(), added)) {
			closeAndAbandon();
			return;
		}
		this.pipelined.append(data);
	}

	private void parse(ByteBuffer data) {
		while (data.hasRemaining() && !this.tcp.closed() && !this.rejected) {
			if (this.current != null) {
				bufferPipelined(data);
				return;
			}
			this.parser.parseNext(data);
			if (this.complete) {
				this.complete = false;
				handleRequest();
			}
		}
		if (this.rejected) {
			data.position(data.limit());
		}
	}

	private void handleRequest() {
		HttpRequest request = new HttpRequest(this.method, this.target, this.headers, this.body.take());
		this.headers = new ArrayList<>();
		this.current = new Exchange(request, System.nanoTime());
		try {
			this.server.handle(this.current);
		}
		catch (RuntimeException | StackOverflowError ex) {
			answerUnexpectedFailure();
			throw ex;
		}
	}

	// The caller would wait for a response until its own timeout otherwise.
	private void answerUnexpectedFailure() {
		if (this.current != null) {
			this.current = null;
			reject(INTERNAL_SERVER_ERROR);
		}
	}

	private void sendResponse(Exchange exchange, HttpResponse response) {
		if (this.current != exchange) {
			return;
		}
		this.current = null;
		releaseBody();
		this.responded = true;
		this.requestStarted = false;
		this.lastActivityNanos = System.nanoTime();
		boolean close = this.server.closesAfterResponse() || this.legacyProtocol
				|| Header.lists(exchange.request().headers(), "Connection", "close");
		HttpSerializer.writeResponse(this.tcp, response, close, exchange.request().method().equals("HEAD"));
		if (close) {
			releasePipelined();
			this.tcp.closeAfterWrite();
			return;
		}
		this.parser.reset();
		if (this.pipelined.size() > 0) {
			this.server.memory().release(this.pipelined.size());
			parse(ByteBuffer.wrap(this.pipelined.take()));
		}
	}

	private void reject(int status) {
		reject(HttpResponse.empty(status));
	}

	private void reject(HttpResponse response) {
		if (!this.rejected) {
			this.rejected = true;
			releaseBody();
			releasePipelined();
			HttpSerializer.writeResponse(this.tcp, response, true, false);
			this.tcp.closeAfterWrite();
		}
	}

	private void releaseBody() {
		this.server.memory().release(this.reservedBytes);
		this.reservedBytes = 0;
		this.body.clear();
	}

	private void releasePipelined() {
		this.server.memory().release(this.pipelined.size());
		this.pipelined.clear();
	}

	// Reserves memory for further bytes of the body, or rejects the request.
	private boolean reserve(long additional) {
		boolean reserved = this.server.memory().reserve(this.reservedBytes, additional);
		if (reserved) {
			this.reservedBytes += additional;
		}
		else {
			this.server.bodyRefused(this.target, this.headers, this.reservedBytes + additional);
			reject(HttpResponse.empty(SERVICE_UNAVAILABLE, new Header("Retry-After", BODY_RETRY_AFTER_SECONDS)));
		}
		return reserved;
	}

	@Override
	public void startRequest(String requestMethod, String uri, HttpVersion version) {
		this.method = requestMethod;
		this.target = uri;
		this.legacyProtocol = version != HttpVersion.HTTP_1_1;
	}

	@Override
	public void messageBegin() {
		this.requestStarted = true;
		this.headComplete = false;
		this.requestStartNanos = System.nanoTime();
	}

	@Override
	public void parsedHeader(HttpField field) {
		this.headers.add(new Header(field.getName(), (field.getValue() != null) ? field.getValue() : ""));
	}

	@Override
	public boolean headerComplete() {
		this.headComplete = true;
		long length = this.parser.getContentLength();
		this.lengthKnown = length > 0;
		if (length > this.limits.maxBodyBytes()) {
			reject(CONTENT_TOO_LARGE);
			return true;
		}
		if (this.lengthKnown && !reserve(length)) {
			return true;
		}
		this.body.expect((int) Math.max(0, length));
		if (Header.lists(this.headers, "Expect", "100-continue")) {
			this.tcp.write("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
		}
		return false;
	}

	@Override
	public boolean content(ByteBuffer data) {
		if (this.body.size() + data.remaining() > this.limits.maxBodyBytes()) {
			data.position(data.limit());
			reject(CONTENT_TOO_LARGE);
			return true;
		}
		// A body of unknown length is copied once when it is complete.
		if (!this.lengthKnown && !reserve(2L * data.remaining())) {
			data.position(data.limit());
			return true;
		}
		this.body.append(data);
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
		closeAndAbandon();
	}

	@Override
	public void badMessage(HttpException failure) {
		reject((failure.getCode() >= BAD_REQUEST) ? failure.getCode() : BAD_REQUEST);
	}

	/**
	 * A request on this connection. Not thread safe.
	 */
	private final class Exchange implements HttpExchange {

		private final HttpRequest request;

		private final long receivedNanos;

		private Runnable abandonedAction = () -> {
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
			sendResponse(this, response);
		}

		@Override
		public void onAbandoned(Runnable action) {
			this.abandonedAction = action;
		}

		void abandon() {
			this.abandonedAction.run();
		}

	}

}

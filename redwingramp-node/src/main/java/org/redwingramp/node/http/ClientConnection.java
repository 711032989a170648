package org.redwingramp.node.http;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

import org.redwingramp.node.http.CallFailure.Cause;
import org.redwingramp.node.loop.EventLoop;
import org.redwingramp.node.loop.TcpConnection;
import org.redwingramp.node.loop.TcpHandler;

/**
 * An HTTP/1.1 client connection to a target. Invariants: it carries one call at a time; a
 * connection on which anything unexpected happened is closed and never reused; a call is
 * not written on a connection that is established after its connect timeout; a response
 * without an identifier counts only for the first call and ends the use of the
 * connection. Not thread safe; it is confined to the event loop's thread.
 */
final class ClientConnection implements TcpHandler, HttpParser.ResponseHandler {

	private static final int MAX_HEADER_BYTES = 32 * 1024;

	/**
	 * Limits the bytes of a response outside its body: the head, trailers, and the
	 * framing of chunks. The framing of a small chunk takes up to eight times its
	 * content, which {@link #MAX_FRAMING_FACTOR} allows for.
	 */
	private static final long MAX_FRAMING_BYTES = 2 * MAX_HEADER_BYTES;

	private static final int MAX_FRAMING_FACTOR = 8;

	/**
	 * Limits interim responses and responses to other requests before the expected one.
	 */
	private static final int MAX_SKIPPED_RESPONSES = 16;

	private static final int MIN_FINAL_STATUS = 200;

	/**
	 * The fraction of the target's Keep-Alive timeout during which a connection is
	 * reused.
	 */
	private static final double KEEP_ALIVE_FRACTION = 0.6;

	/** How long a connection is reused if the target states no Keep-Alive timeout. */
	private static final long DEFAULT_KEEP_ALIVE_NANOS = 4_000_000_000L;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private final TargetConnections owner;

	private final TcpConnection tcp;

	private final HttpParser parser = new HttpParser(this, MAX_HEADER_BYTES, HttpCompliance.RFC9110);

	private final BodyMemoryLimit memory;

	private final BodyBuffer body = new BodyBuffer();

	private long framingBytes;

	private long contentBytes;

	private int skippedResponses;

	private List<Header> headers = new ArrayList<>();

	private int status;

	private ClientListener listener;

	private boolean established;

	private boolean persistent = true;

	private int calls;

	// Whether a response didn't belong to the call in flight.
	private boolean mismatched;

	private boolean complete;

	private boolean malformed;

	private boolean closed;

	private long reusableUntilNanos;

	// When the connection must be established for its first call.
	private long connectDeadlineNanos;

	private long writtenBytesBeforeCall;

	ClientConnection(EventLoop loop, InetSocketAddress address, TargetConnections owner, BodyMemoryLimit memory) {
		this.owner = owner;
		this.memory = memory;
		this.tcp = loop.connect(address, (connection) -> {
			connection.discardUnsentOnClose();
			return this;
		});
	}

	void send(HttpRequest request, long connectTimeoutNanos, ClientListener receiver) {
		this.listener = receiver;
		this.connectDeadlineNanos = System.nanoTime() + connectTimeoutNanos;
		this.calls++;
		this.writtenBytesBeforeCall = this.tcp.writtenBytes();
		this.framingBytes = 0;
		this.contentBytes = 0;
		this.skippedResponses = 0;
		this.parser.setHeadResponse(request.method().equals("HEAD"));
		HttpSerializer.writeRequest(this.tcp, request);
	}

	// Ends the call without notifying its listener.
	void cancel() {
		this.listener = null;
		abort();
	}

	// Fails the call because a timeout expired.
	void timeOut() {
		fail(this.established ? Cause.TIMED_OUT : Cause.NOT_CONNECTED);
	}

	boolean established() {
		return this.established;
	}

	boolean reusable(long now) {
		return !this.closed && now < this.reusableUntilNanos;
	}

	// Closes a connection without a call in flight.
	void close() {
		if (!this.closed) {
			this.closed = true;
			releaseBody();
			this.tcp.closeOrderly();
			this.owner.connectionClosed(this);
		}
	}

	// Closes the connection so that a call which hasn't reached the target never does.
	private void abort() {
		this.tcp.close();
		close();
	}

	@Override
	public void received(ByteBuffer data) {
		if (this.listener == null) {
			// No call is in flight: this is a surplus response to an earlier call.
			close();
			return;
		}
		while (data.hasRemaining() && !this.closed && this.listener != null) {
			int unparsed = data.remaining();
			this.parser.parseNext(data);
			this.framingBytes += unparsed - data.remaining();
			if (this.malformed || exceedsFramingLimit()) {
				fail(Cause.MALFORMED);
			}
			else if (this.complete) {
				finishResponse(data.hasRemaining());
			}
		}
	}

	@Override
	public void endOfStream() {
		if (this.listener == null) {
			close();
			return;
		}
		this.persistent = false;
		if (this.parser.isState(HttpParser.State.TRAILER)) {
			// The parser takes the end of the connection for the end of the trailers.
			fail(Cause.BROKEN_OFF);
			return;
		}
		this.parser.atEOF();
		this.parser.parseNext(ByteBuffer.allocate(0));
		if (this.complete && !this.malformed) {
			finishResponse(false);
		}
		if (this.listener != null) {
			fail(Cause.BROKEN_OFF);
		}
	}

	@Override
	public void failed(Exception cause) {
		fail(this.established ? Cause.BROKEN_OFF : Cause.NOT_CONNECTED);
	}

	@Override
	public void connected() {
		// After the process was stalled, the event loop reports this before the timeout.
		if (this.listener != null && System.nanoTime() - this.connectDeadlineNanos >= 0) {
			timeOut();
		}
		else {
			this.established = true;
		}
	}

	private void finishResponse(boolean surplusBytes) {
		this.complete = false;
		this.memory.release(this.body.size());
		HttpResponse response = new HttpResponse(this.status, this.headers, this.body.take());
		this.headers = new ArrayList<>();
		if (response.status() < MIN_FINAL_STATUS) {
			this.skippedResponses++;
			this.parser.reset();
			return;
		}
		ResponseMatch match = this.listener.match(response);
		boolean unidentified = match == ResponseMatch.UNIDENTIFIED;
		if (match == ResponseMatch.OTHER || (unidentified && (this.calls > 1 || this.mismatched))) {
			this.skippedResponses++;
			this.mismatched = true;
			this.parser.reset();
			return;
		}
		ClientListener receiver = this.listener;
		this.listener = null;
		boolean reuse = this.persistent && !this.mismatched && !unidentified && !surplusBytes
				&& this.tcp.queuedBytes() == 0 && !this.parser.isClose()
				&& !Header.lists(response.headers(), "Connection", "close");
		if (reuse) {
			this.parser.reset();
			this.reusableUntilNanos = System.nanoTime() + keepAliveNanos(response.headers());
			this.owner.connectionIdle(this);
		}
		else {
			close();
		}
		receiver.answered(response);
	}

	// Returns whether the bytes outside bodies exceed what a valid response needs.
	private boolean exceedsFramingLimit() {
		return this.skippedResponses > MAX_SKIPPED_RESPONSES
				|| this.framingBytes > MAX_FRAMING_BYTES + MAX_FRAMING_FACTOR * this.contentBytes;
	}

	private void releaseBody() {
		this.memory.release(this.body.size());
		this.body.clear();
	}

	private void fail(Cause cause) {
		ClientListener receiver = this.listener;
		this.listener = null;
		boolean mayHaveRun = this.tcp.writtenBytes() > this.writtenBytesBeforeCall;
		abort();
		if (receiver != null) {
			receiver.failed(new CallFailure(cause, mayHaveRun));
		}
	}

	private static long keepAliveNanos(List<Header> headers) {
		return Header.find(headers, "Keep-Alive")
			.map((value) -> value.replaceAll(".*timeout=\\s*(\\d{1,6}).*", "$1"))
			.filter((seconds) -> seconds.matches("\\d{1,6}"))
			.map((seconds) -> (long) (Long.parseLong(seconds) * NANOS_PER_SECOND * KEEP_ALIVE_FRACTION))
			.orElse(DEFAULT_KEEP_ALIVE_NANOS);
	}

	@Override
	public void startResponse(HttpVersion version, int code, String reason) {
		this.status = code;
		this.persistent &= version == HttpVersion.HTTP_1_1;
	}

	@Override
	public void parsedHeader(HttpField field) {
		this.headers.add(new Header(field.getName(), (field.getValue() != null) ? field.getValue() : ""));
	}

	@Override
	public boolean headerComplete() {
		return false;
	}

	@Override
	public boolean content(ByteBuffer data) {
		int added = data.remaining();
		this.framingBytes -= added;
		this.contentBytes += added;
		if (this.memory.reserve(this.body.size(), added)) {
			this.body.append(data);
		}
		else {
			data.position(data.limit());
			this.malformed = true;
		}
		return this.malformed;
	}

	@Override
	public boolean contentComplete() {
		return false;
	}

	@Override
	public boolean messageComplete() {
		this.complete = true;
		return true;
	}

	@Override
	public void earlyEOF() {
		this.malformed = true;
	}

	@Override
	public void badMessage(HttpException failure) {
		this.malformed = true;
	}

}

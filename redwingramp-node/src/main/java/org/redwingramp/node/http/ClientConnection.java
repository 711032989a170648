package org.redwingramp.node.http;

import java.io.ByteArrayOutputStream;
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
 * A connection to a target. Invariants: one call at a time; a connection on which
 * anything unexpected happened is closed and never used again. Not thread safe; it
 * belongs to the loop's thread.
 */
final class ClientConnection implements TcpHandler, HttpParser.ResponseHandler {

	private static final int MAX_HEADER_BYTES = 32 * 1024;

	/**
	 * The most bytes besides bodies: a head, trailers, and the frames of small chunks,
	 * each of which takes up to eight times its content.
	 */
	private static final long MAX_FRAMING_BYTES = 2 * MAX_HEADER_BYTES;

	private static final int MAX_FRAMING_FACTOR = 8;

	/** The most interim answers and answers to other requests before the awaited one. */
	private static final int MAX_OTHER_ANSWERS = 16;

	private static final int FIRST_FINAL_STATUS = 200;

	/** The part of the announced idle time after which a connection is no longer used. */
	private static final double IDLE_PART = 0.6;

	private static final long DEFAULT_IDLE_NANOS = 4_000_000_000L;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private final TargetConnections owner;

	private final TcpConnection tcp;

	private final HttpParser parser = new HttpParser(this, MAX_HEADER_BYTES, HttpCompliance.RFC9110);

	private final AnswerMemory memory;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);

	private long framingBytes;

	private long contentBytes;

	private int otherAnswers;

	private List<Header> headers = new ArrayList<>();

	private int status;

	private ClientListener listener;

	private boolean established;

	private boolean reusable = true;

	private boolean complete;

	private boolean malformed;

	private boolean ended;

	private long idleUntilNanos;

	private long writtenBefore;

	ClientConnection(EventLoop loop, InetSocketAddress address, TargetConnections owner, AnswerMemory memory) {
		this.owner = owner;
		this.memory = memory;
		this.tcp = loop.connect(address, (connection) -> this);
	}

	void send(byte[] request, boolean head, ClientListener receiver) {
		this.listener = receiver;
		this.writtenBefore = this.tcp.writtenBytes();
		this.framingBytes = 0;
		this.contentBytes = 0;
		this.otherAnswers = 0;
		this.parser.setHeadResponse(head);
		this.tcp.write(request);
	}

	// Ends the call; its listener hears nothing more.
	void cancel() {
		this.listener = null;
		close();
	}

	// Ends the call as failed.
	void timeOut() {
		fail(this.established ? Cause.TIMED_OUT : Cause.NOT_CONNECTED);
	}

	boolean established() {
		return this.established;
	}

	boolean usable(long now) {
		return !this.ended && now < this.idleUntilNanos;
	}

	void close() {
		if (!this.ended) {
			this.ended = true;
			dropBody();
			this.tcp.close();
			this.owner.ended(this);
		}
	}

	@Override
	public void received(ByteBuffer data) {
		if (this.listener == null) {
			// Bytes without a call: an extra answer to an earlier one.
			close();
			return;
		}
		this.framingBytes += data.remaining();
		while (data.hasRemaining() && !this.ended && this.listener != null) {
			this.parser.parseNext(data);
			if (this.malformed || endless()) {
				fail(Cause.MALFORMED);
			}
			else if (this.complete) {
				finish(data.hasRemaining());
			}
		}
	}

	@Override
	public void endOfStream() {
		if (this.listener == null) {
			close();
			return;
		}
		this.reusable = false;
		this.parser.atEOF();
		this.parser.parseNext(ByteBuffer.allocate(0));
		if (this.complete && !this.malformed) {
			finish(false);
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
		this.established = true;
	}

	private void finish(boolean moreBytes) {
		this.complete = false;
		HttpResponse response = new HttpResponse(this.status, this.headers, this.body.toByteArray());
		this.headers = new ArrayList<>();
		dropBody();
		if (response.status() < FIRST_FINAL_STATUS) {
			this.otherAnswers++;
			this.parser.reset();
			return;
		}
		if (!this.listener.accepts(response)) {
			this.otherAnswers++;
			this.reusable = false;
			this.parser.reset();
			return;
		}
		ClientListener receiver = this.listener;
		this.listener = null;
		boolean keep = this.reusable && !moreBytes && this.tcp.queuedBytes() == 0 && !this.parser.isClose()
				&& !Header.lists(response.headers(), "Connection", "close");
		if (keep) {
			this.parser.reset();
			this.idleUntilNanos = System.nanoTime() + idleNanos(response.headers());
			this.owner.idle(this);
		}
		else {
			close();
		}
		receiver.answered(response);
	}

	// Returns whether there is more around bodies than any answer needs.
	private boolean endless() {
		return this.otherAnswers > MAX_OTHER_ANSWERS
				|| this.framingBytes > MAX_FRAMING_BYTES + MAX_FRAMING_FACTOR * this.contentBytes;
	}

	private void dropBody() {
		this.memory.giveBack(this.body.size());
		this.body.reset();
	}

	private void fail(Cause cause) {
		ClientListener receiver = this.listener;
		this.listener = null;
		boolean mayHaveRun = this.tcp.writtenBytes() > this.writtenBefore;
		close();
		if (receiver != null) {
			receiver.failed(new CallFailure(cause, mayHaveRun));
		}
	}

	private static long idleNanos(List<Header> headers) {
		return Header.find(headers, "Keep-Alive")
			.map((value) -> value.replaceAll(".*timeout=\\s*(\\d{1,6}).*", "$1"))
			.filter((seconds) -> seconds.matches("\\d{1,6}"))
			.map((seconds) -> (long) (Long.parseLong(seconds) * NANOS_PER_SECOND * IDLE_PART))
			.orElse(DEFAULT_IDLE_NANOS);
	}

	@Override
	public void startResponse(HttpVersion version, int code, String reason) {
		this.status = code;
		this.reusable &= version == HttpVersion.HTTP_1_1;
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
		byte[] bytes = new byte[data.remaining()];
		data.get(bytes);
		this.framingBytes -= bytes.length;
		this.contentBytes += bytes.length;
		if (this.memory.take(this.body.size(), bytes.length)) {
			this.body.writeBytes(bytes);
		}
		else {
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

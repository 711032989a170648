package org.redwingramp.wire.internal;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.apache.thrift.TException;

import org.redwingramp.wire.CallNotExecutedException;
import org.redwingramp.wire.Kind;
import org.redwingramp.wire.LinkSettings;
import org.redwingramp.wire.OutcomeUnknownException;

/**
 * Sends one-way messages to one peer from its own thread. Since one-way messages have no
 * reply, pings are sent between them at regular intervals, without blocking until the
 * reply arrives. A connection on which a ping gets no reply within the timeout is closed
 * and replaced on demand. {@link #send} and {@link #close} are thread safe.
 */
final class OneWaySender {

	private static final byte[] EMPTY_PAYLOAD = {};

	private static final long REPLY_POLL_NANOS = 20_000_000;

	private static final long MAX_WAIT_NANOS = 1_000_000_000;

	private final Dialer dialer;

	private final DroppingQueue queue;

	private final long pingIntervalNanos;

	private final long pingTimeoutNanos;

	private final long idleTimeoutNanos;

	private final long connectTimeoutNanos;

	private final int maxPayloadBytes;

	private final Thread thread;

	private volatile boolean running = true;

	private PeerConnection connection;

	private boolean pingPending;

	private long pingSentNanos;

	private long lastMessageNanos;

	OneWaySender(Dialer dialer, String address, LinkSettings settings) {
		this.dialer = dialer;
		this.queue = new DroppingQueue(settings.queueLength());
		this.pingIntervalNanos = TimeUnit.MILLISECONDS.toNanos(settings.pingMillis());
		this.pingTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(settings.silentMillis());
		this.idleTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(settings.idleMillis());
		this.connectTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(settings.connectMillis());
		this.maxPayloadBytes = PeerConnection.maxPayloadBytes(settings);
		this.thread = new Thread(this::run, "wire-send-" + address);
		this.thread.setDaemon(true);
		this.thread.start();
	}

	void send(Kind kind, byte[] payload) {
		if (payload.length > this.maxPayloadBytes) {
			this.dialer.reportDropped(1);
		}
		else {
			this.queue.add(new DroppingQueue.Message(kind, payload));
		}
	}

	void close() {
		this.running = false;
		this.thread.interrupt();
	}

	private void run() {
		try {
			while (this.running) {
				processNext();
			}
		}
		catch (InterruptedException ex) {
			// Expected: close() interrupts the thread.
		}
		finally {
			disconnect();
		}
	}

	private void processNext() throws InterruptedException {
		Optional<DroppingQueue.Message> message = this.queue.poll(waitNanos());
		reportDropped();
		try {
			if (message.isPresent()) {
				transmit(message.get());
			}
			if (this.connection != null) {
				checkPingReply();
				pingIfDue();
			}
		}
		catch (TException | CallNotExecutedException | OutcomeUnknownException ex) {
			handleFailure();
		}
		catch (RuntimeException ex) {
			this.dialer.reportFailure(ex);
			handleFailure();
		}
	}

	private long waitNanos() {
		if (this.connection == null) {
			return MAX_WAIT_NANOS;
		}
		return this.pingPending ? REPLY_POLL_NANOS
				: Math.max(1, this.pingIntervalNanos - (System.nanoTime() - this.pingSentNanos));
	}

	private void transmit(DroppingQueue.Message message)
			throws InterruptedException, TException, CallNotExecutedException {
		if (this.connection == null) {
			connect();
		}
		this.lastMessageNanos = System.nanoTime();
		this.connection.transport().closeAfter(this.pingTimeoutNanos);
		this.connection.deliver(message.kind(), message.payload());
		this.connection.transport().clearDeadline();
	}

	private void connect() throws InterruptedException, CallNotExecutedException {
		TimeUnit.NANOSECONDS.sleep(this.dialer.backoffNanos());
		this.connection = this.dialer.dial(this.connectTimeoutNanos);
		this.pingPending = false;
		this.pingSentNanos = System.nanoTime();
	}

	private void checkPingReply() throws CallNotExecutedException, OutcomeUnknownException {
		if (!this.pingPending) {
			return;
		}
		switch (this.connection.transport().poll()) {
			case DATA -> receivePingReply();
			case END_OF_STREAM -> handleFailure();
			case NO_DATA -> checkPingTimeout();
		}
	}

	private void receivePingReply() throws CallNotExecutedException, OutcomeUnknownException {
		this.connection.transport().closeAfter(this.pingTimeoutNanos);
		this.connection.receive(Kind.PING);
		this.connection.transport().clearDeadline();
		this.pingPending = false;
	}

	private void checkPingTimeout() {
		if (System.nanoTime() - this.pingSentNanos > this.pingTimeoutNanos) {
			this.dialer
				.reportUnresponsive("no reply to a ping within " + TimeUnit.NANOSECONDS.toMillis(this.pingTimeoutNanos)
						+ " ms on the connection for one-way messages");
			disconnect();
		}
	}

	private void pingIfDue() throws TException {
		long now = System.nanoTime();
		if (this.connection == null || this.pingPending || now - this.pingSentNanos < this.pingIntervalNanos) {
			return;
		}
		if (now - this.lastMessageNanos > this.idleTimeoutNanos) {
			disconnect();
			return;
		}
		this.connection.transport().closeAfter(this.pingTimeoutNanos);
		this.connection.send(Kind.PING, EMPTY_PAYLOAD, this.pingTimeoutNanos);
		this.connection.transport().clearDeadline();
		this.pingPending = true;
		this.pingSentNanos = now;
	}

	private void handleFailure() {
		boolean unresponsive = this.connection != null && this.connection.transport().timedOut();
		if (unresponsive) {
			this.dialer.reportUnresponsive("a one-way message or ping was not transferred within "
					+ TimeUnit.NANOSECONDS.toMillis(this.pingTimeoutNanos) + " ms");
		}
		disconnect();
		this.queue.clear();
	}

	private void disconnect() {
		if (this.connection != null) {
			this.connection.close();
			this.connection = null;
		}
	}

	private void reportDropped() {
		long count = this.queue.resetDropped();
		if (count > 0) {
			this.dialer.reportDropped(count);
		}
	}

}

package org.redwingramp.wire.internal;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.apache.thrift.TException;

import org.redwingramp.wire.Kind;
import org.redwingramp.wire.LinkSettings;
import org.redwingramp.wire.NotSentException;
import org.redwingramp.wire.OutcomeUnknownException;

/**
 * Sends one-way messages to one peer from a thread of its own. Since one-way messages
 * have no answer, a ping is sent among them at intervals, without waiting for its answer;
 * a connection whose ping stays unanswered is replaced. The methods of this class are
 * thread safe.
 */
final class OneWaySender {

	private static final byte[] NOTHING = {};

	private static final long ANSWER_POLL_NANOS = 20_000_000;

	private static final long LONGEST_WAIT_NANOS = 1_000_000_000;

	private final Dialer dialer;

	private final DroppingQueue queue;

	private final long pingNanos;

	private final long silentNanos;

	private final long idleNanos;

	private final long connectNanos;

	private final int maxPayloadBytes;

	private final Thread thread;

	private volatile boolean running = true;

	private PeerConnection connection;

	private boolean pinging;

	private long pingSent;

	private long lastMessage;

	OneWaySender(Dialer dialer, String address, LinkSettings settings) {
		this.dialer = dialer;
		this.queue = new DroppingQueue(settings.queueLength());
		this.pingNanos = TimeUnit.MILLISECONDS.toNanos(settings.pingMillis());
		this.silentNanos = TimeUnit.MILLISECONDS.toNanos(settings.silentMillis());
		this.idleNanos = TimeUnit.MILLISECONDS.toNanos(settings.idleMillis());
		this.connectNanos = TimeUnit.MILLISECONDS.toNanos(settings.connectMillis());
		this.maxPayloadBytes = PeerConnection.maxPayloadBytes(settings);
		this.thread = new Thread(this::run, "wire-send-" + address);
		this.thread.setDaemon(true);
		this.thread.start();
	}

	void send(Kind kind, byte[] payload) {
		if (payload.length > this.maxPayloadBytes) {
			this.dialer.dropped(1);
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
				step();
			}
		}
		catch (InterruptedException ex) {
			// Interrupted by close().
		}
		finally {
			disconnect();
		}
	}

	private void step() throws InterruptedException {
		Optional<DroppingQueue.Message> message = this.queue.poll(waitNanos());
		reportDropped();
		try {
			if (message.isPresent()) {
				transmit(message.get());
			}
			if (this.connection != null) {
				checkAnswer();
				ping();
			}
		}
		catch (TException | NotSentException | OutcomeUnknownException ex) {
			fail();
		}
		catch (RuntimeException ex) {
			this.dialer.failed(ex);
			fail();
		}
	}

	private long waitNanos() {
		if (this.connection == null) {
			return LONGEST_WAIT_NANOS;
		}
		return this.pinging ? ANSWER_POLL_NANOS : Math.max(1, this.pingNanos - (System.nanoTime() - this.pingSent));
	}

	private void transmit(DroppingQueue.Message message) throws InterruptedException, TException, NotSentException {
		if (this.connection == null) {
			connect();
		}
		this.lastMessage = System.nanoTime();
		this.connection.transport().deadline(this.silentNanos);
		this.connection.deliver(message.kind(), message.payload());
		this.connection.transport().noDeadline();
	}

	private void connect() throws InterruptedException, NotSentException {
		TimeUnit.NANOSECONDS.sleep(this.dialer.pauseNanos());
		this.connection = this.dialer.dial(this.connectNanos);
		this.pinging = false;
		this.pingSent = System.nanoTime();
	}

	private void checkAnswer() throws NotSentException, OutcomeUnknownException {
		if (!this.pinging) {
			return;
		}
		switch (this.connection.transport().poll()) {
			case BYTES -> receiveAnswer();
			case END -> fail();
			case NOTHING -> checkSilence();
		}
	}

	private void receiveAnswer() throws NotSentException, OutcomeUnknownException {
		this.connection.transport().deadline(this.silentNanos);
		this.connection.receive(Kind.PING);
		this.connection.transport().noDeadline();
		this.pinging = false;
	}

	private void checkSilence() {
		if (System.nanoTime() - this.pingSent > this.silentNanos) {
			this.dialer.silent("no answer to a ping among one-way messages");
			disconnect();
		}
	}

	private void ping() throws TException {
		long now = System.nanoTime();
		if (this.connection == null || this.pinging || now - this.pingSent < this.pingNanos) {
			return;
		}
		if (now - this.lastMessage > this.idleNanos) {
			disconnect();
			return;
		}
		this.connection.transport().deadline(this.silentNanos);
		this.connection.send(Kind.PING, NOTHING, this.silentNanos);
		this.connection.transport().noDeadline();
		this.pinging = true;
		this.pingSent = now;
	}

	private void fail() {
		boolean silent = this.connection != null && this.connection.transport().overdue();
		if (silent) {
			this.dialer.silent("the peer takes no more bytes");
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
		long count = this.queue.takeDropped();
		if (count > 0) {
			this.dialer.dropped(count);
		}
	}

}

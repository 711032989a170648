package org.redwingramp.wire.internal;

import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import org.redwingramp.wire.Answer;
import org.redwingramp.wire.Kind;
import org.redwingramp.wire.LinkSettings;
import org.redwingramp.wire.NotSentException;
import org.redwingramp.wire.OutcomeUnknownException;

/**
 * The connections for calls to one peer. The most recently used connection is used first,
 * so surplus ones become idle and close. Invariant: at most {@code size} connections are
 * open or being opened, and each carries one call at a time. Thread safe.
 */
final class CallPool {

	private static final byte[] NOTHING = {};

	private final Dialer dialer;

	private final LinkSettings settings;

	private final String address;

	private final int size;

	private final Semaphore permits;

	private final ConcurrentLinkedDeque<PeerConnection> idle = new ConcurrentLinkedDeque<>();

	private volatile boolean closed;

	CallPool(Dialer dialer, String address, LinkSettings settings, int size) {
		this.dialer = dialer;
		this.address = address;
		this.settings = settings;
		this.size = size;
		this.permits = new Semaphore(size);
	}

	Answer call(Kind kind, byte[] payload, long timeoutNanos) throws NotSentException, OutcomeUnknownException {
		long end = System.nanoTime() + timeoutNanos;
		acquire(timeoutNanos);
		try {
			PeerConnection connection = take(end);
			try {
				return connection.call(kind, payload, remaining(end));
			}
			finally {
				putBack(connection);
			}
		}
		finally {
			this.permits.release();
		}
	}

	private void acquire(long timeoutNanos) throws NotSentException {
		try {
			if (!this.permits.tryAcquire() && !this.permits.tryAcquire(timeoutNanos, TimeUnit.NANOSECONDS)) {
				throw new NotSentException("All " + this.size + " connections to " + this.address + " are in use");
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new NotSentException("Interrupted while waiting for a connection to " + this.address, ex);
		}
	}

	private PeerConnection take(long end) throws NotSentException {
		PeerConnection connection = this.idle.pollFirst();
		while (connection != null) {
			if (tested(connection, end)) {
				return connection;
			}
			connection.close();
			connection = this.idle.pollFirst();
		}
		if (this.closed) {
			throw new NotSentException("The links are closed");
		}
		return dial(end);
	}

	// A process that has just started may be slow to authenticate. While the caller has
	// time left, one failed attempt is no reason to refuse the call.
	private PeerConnection dial(long end) throws NotSentException {
		try {
			return this.dialer.dial(remaining(end));
		}
		catch (NotSentException ex) {
			return this.dialer.dial(remaining(end));
		}
	}

	// Tests a connection that was idle, so that a call is not lost on one that delivers
	// nothing any more.
	private boolean tested(PeerConnection connection, long end) throws NotSentException {
		if (!connection.usable()) {
			return false;
		}
		if (!connection.idleLongerThan(TimeUnit.MILLISECONDS.toNanos(this.settings.testAfterMillis()))) {
			return true;
		}
		try {
			long limit = TimeUnit.MILLISECONDS.toNanos(this.settings.silentMillis());
			connection.call(Kind.PING, NOTHING, Math.min(limit, remaining(end)));
			return true;
		}
		catch (NotSentException | OutcomeUnknownException ex) {
			if (connection.transport().overdue()) {
				this.dialer.silent("an idle connection for calls did not answer");
			}
			return false;
		}
	}

	private long remaining(long end) throws NotSentException {
		long remaining = end - System.nanoTime();
		if (remaining <= 0) {
			throw new NotSentException("The time was over before the call to " + this.address + " was sent");
		}
		return remaining;
	}

	private void putBack(PeerConnection connection) {
		if (connection.transport().isOpen()) {
			connection.rest();
			this.idle.addFirst(connection);
			if (this.closed) {
				close();
			}
		}
	}

	void close() {
		this.closed = true;
		PeerConnection connection = this.idle.pollFirst();
		while (connection != null) {
			connection.close();
			connection = this.idle.pollFirst();
		}
	}

}

package org.redwingramp.wire.internal;

import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import org.redwingramp.wire.Answer;
import org.redwingramp.wire.CallNotExecutedException;
import org.redwingramp.wire.Kind;
import org.redwingramp.wire.LinkSettings;
import org.redwingramp.wire.OutcomeUnknownException;

/**
 * A pool of connections for calls to one peer. The most recently used connection is
 * reused first, so that surplus connections become idle and are closed. Invariant: at
 * most {@code size} connections are open or being opened, and each carries one call at a
 * time. Thread safe.
 */
final class CallPool {

	private static final byte[] EMPTY_PAYLOAD = {};

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

	Answer call(Kind kind, byte[] payload, long timeoutNanos) throws CallNotExecutedException, OutcomeUnknownException {
		long deadline = System.nanoTime() + timeoutNanos;
		acquirePermit(timeoutNanos);
		try {
			PeerConnection connection = borrow(deadline);
			try {
				return connection.call(kind, payload, remainingNanos(deadline));
			}
			finally {
				giveBack(connection);
			}
		}
		finally {
			this.permits.release();
		}
	}

	private void acquirePermit(long timeoutNanos) throws CallNotExecutedException {
		try {
			if (!this.permits.tryAcquire() && !this.permits.tryAcquire(timeoutNanos, TimeUnit.NANOSECONDS)) {
				throw new CallNotExecutedException("All " + this.size + " connections for calls to " + this.address
						+ " were in use until the call timed out");
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new CallNotExecutedException("Interrupted while waiting for a connection to " + this.address, ex);
		}
	}

	private PeerConnection borrow(long deadline) throws CallNotExecutedException {
		PeerConnection connection = this.idle.pollFirst();
		while (connection != null) {
			if (isResponsive(connection, deadline)) {
				return connection;
			}
			connection.close();
			connection = this.idle.pollFirst();
		}
		if (this.closed) {
			throw new CallNotExecutedException("The link to " + this.address + " is closed");
		}
		return dial(deadline);
	}

	// A newly started process may be slow to authenticate a connection. A single failed
	// attempt therefore does not fail the call while its caller has time left.
	private PeerConnection dial(long deadline) throws CallNotExecutedException {
		try {
			return this.dialer.dial(remainingNanos(deadline));
		}
		catch (CallNotExecutedException ex) {
			return this.dialer.dial(remainingNanos(deadline));
		}
	}

	// Checks a connection that was idle with a ping, so that no call is sent on a
	// connection that has become unresponsive.
	private boolean isResponsive(PeerConnection connection, long deadline) throws CallNotExecutedException {
		if (!connection.usable()) {
			return false;
		}
		if (!connection.idleLongerThan(TimeUnit.MILLISECONDS.toNanos(this.settings.testAfterMillis()))) {
			return true;
		}
		try {
			long pingTimeout = TimeUnit.MILLISECONDS.toNanos(this.settings.silentMillis());
			connection.call(Kind.PING, EMPTY_PAYLOAD, Math.min(pingTimeout, remainingNanos(deadline)));
			return true;
		}
		catch (CallNotExecutedException | OutcomeUnknownException ex) {
			if (connection.transport().timedOut()) {
				this.dialer.reportUnresponsive("no reply to a ping before its timeout of at most "
						+ this.settings.silentMillis() + " ms on an idle connection for calls");
			}
			return false;
		}
	}

	private long remainingNanos(long deadline) throws CallNotExecutedException {
		long remainingNanos = deadline - System.nanoTime();
		if (remainingNanos <= 0) {
			throw new CallNotExecutedException("The call to " + this.address + " timed out before it was sent");
		}
		return remainingNanos;
	}

	private void giveBack(PeerConnection connection) {
		if (connection.transport().isOpen()) {
			connection.markIdle();
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

package org.redwingramp.wire.internal;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

import org.redwingramp.wire.Kind;

/**
 * A bounded queue that drops its oldest messages when it is full. It is bounded by the
 * number of messages and by bytes, since snapshot chunks are much larger than other
 * messages. The bounded queues of the JDK and the Disruptor are not used, because they
 * block or reject the producer instead. Thread safe.
 */
final class DroppingQueue {

	/** Room for four messages of the maximum size. */
	private static final long MAX_BYTES = 20L * 1024 * 1024;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition notEmpty = this.lock.newCondition();

	private final ArrayDeque<Message> messages = new ArrayDeque<>();

	private final int maxMessages;

	private long bytes;

	private long dropped;

	DroppingQueue(int maxMessages) {
		this.maxMessages = maxMessages;
	}

	void add(Message message) {
		this.lock.lock();
		try {
			this.messages.addLast(message);
			this.bytes += message.payload().length;
			while (this.messages.size() > this.maxMessages || (this.bytes > MAX_BYTES && this.messages.size() > 1)) {
				removeFirst();
				this.dropped++;
			}
			this.notEmpty.signal();
		}
		finally {
			this.lock.unlock();
		}
	}

	Optional<Message> poll(long timeoutNanos) throws InterruptedException {
		this.lock.lock();
		try {
			long remainingNanos = timeoutNanos;
			while (this.messages.isEmpty() && remainingNanos > 0) {
				remainingNanos = this.notEmpty.awaitNanos(remainingNanos);
			}
			return this.messages.isEmpty() ? Optional.empty() : Optional.of(removeFirst());
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Drops all messages, since they would be outdated when the peer can be reached
	 * again.
	 */
	void clear() {
		this.lock.lock();
		try {
			this.dropped += this.messages.size();
			this.messages.clear();
			this.bytes = 0;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Returns the number of messages dropped since the last call and resets it to 0.
	 * @return the number of messages
	 */
	long resetDropped() {
		this.lock.lock();
		try {
			long count = this.dropped;
			this.dropped = 0;
			return count;
		}
		finally {
			this.lock.unlock();
		}
	}

	private Message removeFirst() {
		Message first = this.messages.removeFirst();
		this.bytes -= first.payload().length;
		return first;
	}

	/**
	 * A one-way message.
	 *
	 * @param kind the type of the payload
	 * @param payload the encoded payload
	 */
	record Message(Kind kind, byte[] payload) {
	}

}

package org.redwingramp.wire.internal;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

import org.redwingramp.wire.Kind;

/**
 * A bounded queue that drops its oldest messages when it is full. Bounded by number and
 * bytes, since snapshot chunks are much larger than other messages. The JDK's bounded
 * queues and the Disruptor make the producer wait or fail instead. Thread safe.
 */
final class DroppingQueue {

	/** Four of the largest messages. */
	private static final long MAX_BYTES = 20L * 1024 * 1024;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition filled = this.lock.newCondition();

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
			this.filled.signal();
		}
		finally {
			this.lock.unlock();
		}
	}

	Optional<Message> poll(long timeoutNanos) throws InterruptedException {
		this.lock.lock();
		try {
			long left = timeoutNanos;
			while (this.messages.isEmpty() && left > 0) {
				left = this.filled.awaitNanos(left);
			}
			return this.messages.isEmpty() ? Optional.empty() : Optional.of(removeFirst());
		}
		finally {
			this.lock.unlock();
		}
	}

	/** Drops all messages, since they would be outdated by the time the peer is back. */
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
	 * Returns how many messages were dropped since the last invocation.
	 * @return the number of messages
	 */
	long takeDropped() {
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
	 * @param kind what the payload is
	 * @param payload the payload
	 */
	record Message(Kind kind, byte[] payload) {
	}

}

package org.redwingramp.node.control;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Runs the disk writes of one replica, one after the other. While it is stalled, no write
 * begins. Thread safe.
 */
final class StallingDisk extends ThreadPoolExecutor {

	private final Lock lock = new ReentrantLock();

	private final Condition resumed = this.lock.newCondition();

	private boolean stalled;

	StallingDisk(String name) {
		super(1, 1, 0, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), (task) -> {
			Thread thread = new Thread(task, "disk of " + name);
			thread.setDaemon(true);
			return thread;
		});
	}

	void stall() {
		setStalled(true);
	}

	void resume() {
		setStalled(false);
	}

	private void setStalled(boolean next) {
		this.lock.lock();
		try {
			this.stalled = next;
			this.resumed.signalAll();
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	protected void beforeExecute(Thread thread, Runnable task) {
		this.lock.lock();
		try {
			while (this.stalled) {
				this.resumed.awaitUninterruptibly();
			}
		}
		finally {
			this.lock.unlock();
		}
	}

}

package org.redwingramp.bench.load;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

import org.eclipse.jetty.client.HttpClient;

/**
 * Selects entry instances round robin among those whose last readiness probe succeeded,
 * like a load balancer in front of them. Thread safe.
 */
final class LoadBalancer implements Runnable {

	private static final long PROBE_INTERVAL_MILLIS = 500;

	private final List<LoadOptions.Entry> entries;

	private final HttpClient client;

	private final Set<String> unready = ConcurrentHashMap.newKeySet();

	private final AtomicInteger next = new AtomicInteger();

	LoadBalancer(List<LoadOptions.Entry> entries, HttpClient client) {
		this.entries = entries;
		this.client = client;
	}

	// Returns the next ready entry other than the excluded one. Returns another entry if
	// there is none.
	String choose(String excluded) {
		String candidate = this.entries.get(0).callers();
		for (int i = 0; i < this.entries.size() * 2; i++) {
			candidate = this.entries.get(Math.floorMod(this.next.getAndIncrement(), this.entries.size())).callers();
			boolean allowed = !candidate.equals(excluded) || this.entries.size() == 1;
			if (allowed && !this.unready.contains(candidate)) {
				return candidate;
			}
		}
		return candidate;
	}

	@Override
	public void run() {
		try {
			while (!Thread.currentThread().isInterrupted()) {
				for (LoadOptions.Entry entry : this.entries) {
					probe(entry);
				}
				TimeUnit.MILLISECONDS.sleep(PROBE_INTERVAL_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void probe(LoadOptions.Entry entry) throws InterruptedException {
		if (entry.operators().isEmpty()) {
			return;
		}
		if (ready(entry.operators())) {
			this.unready.remove(entry.callers());
		}
		else {
			this.unready.add(entry.callers());
		}
	}

	private boolean ready(String address) throws InterruptedException {
		try {
			return this.client.newRequest("http://" + address + "/ready")
				.timeout(PROBE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
				.send()
				.getStatus() == 200;
		}
		catch (TimeoutException | ExecutionException ex) {
			return false;
		}
	}

}

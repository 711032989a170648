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
 * Chooses entries in turn among those that were ready at the last probe, as a balancer
 * does. Thread safe.
 */
final class Balancer implements Runnable {

	private static final long PROBE_MILLIS = 500;

	private final List<LoadOptions.Entry> entries;

	private final HttpClient client;

	private final Set<String> unready = ConcurrentHashMap.newKeySet();

	private final AtomicInteger next = new AtomicInteger();

	Balancer(List<LoadOptions.Entry> entries, HttpClient client) {
		this.entries = entries;
		this.client = client;
	}

	// Returns the next entry that is ready and isn't the given one, if there is another.
	String choose(String except) {
		String found = this.entries.get(0).callers();
		for (int i = 0; i < this.entries.size() * 2; i++) {
			found = this.entries.get(Math.floorMod(this.next.getAndIncrement(), this.entries.size())).callers();
			boolean wanted = !found.equals(except) || this.entries.size() == 1;
			if (wanted && !this.unready.contains(found)) {
				return found;
			}
		}
		return found;
	}

	@Override
	public void run() {
		try {
			while (!Thread.currentThread().isInterrupted()) {
				for (LoadOptions.Entry entry : this.entries) {
					probe(entry);
				}
				TimeUnit.MILLISECONDS.sleep(PROBE_MILLIS);
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
				.timeout(PROBE_MILLIS, TimeUnit.MILLISECONDS)
				.send()
				.getStatus() == 200;
		}
		catch (TimeoutException | ExecutionException ex) {
			return false;
		}
	}

}

package org.redwingramp.bench.standin;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Runs a stand-in target until SIGTERM: announces it periodically to the entry instances,
 * and drains and deregisters it before the process exits. Not thread safe; the main
 * thread owns it.
 */
public final class StandInMain {

	private static final long ANNOUNCE_INTERVAL_MILLIS = 500;

	private static final long DRAIN_TIMEOUT_MILLIS = 10_000;

	private final StandInOptions options;

	private final StandIn target;

	private final HttpClient client = new HttpClient();

	private volatile boolean stopping;

	private int nextEntry;

	private StandInMain(StandInOptions options) throws Exception {
		this.options = options;
		this.target = new StandIn(options);
	}

	/**
	 * Starts the target and returns once it has been drained.
	 * @param args the command line
	 * @throws Exception if the target can't start
	 */
	public static void main(String[] args) throws Exception {
		new StandInMain(StandInOptions.parse(args)).run();
	}

	private void run() throws Exception {
		this.client.start();
		Thread main = Thread.currentThread();
		Runtime.getRuntime().addShutdownHook(new Thread(() -> awaitShutdown(main)));
		while (!this.stopping) {
			announce();
			TimeUnit.MILLISECONDS.sleep(ANNOUNCE_INTERVAL_MILLIS);
		}
		drainAndDeregister();
		this.target.close();
		this.client.stop();
	}

	private void awaitShutdown(Thread main) {
		this.stopping = true;
		try {
			main.join(DRAIN_TIMEOUT_MILLIS + ANNOUNCE_INTERVAL_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		System.out.println("left: " + this.target.counters());
	}

	private void announce() throws InterruptedException {
		String body = JsonNodeFactory.instance.objectNode()
			.put("service", this.options.service())
			.put("address", this.options.announced())
			.put("failureDomain", this.options.domain())
			.put("slots", this.options.slots())
			.put("connections", 110)
			.put("bootId", this.options.bootId())
			.put("checksFences", true)
			.toString();
		callEntry(HttpMethod.PUT, "", body);
	}

	private void drainAndDeregister() throws InterruptedException {
		String query = "?bootId=" + this.options.bootId();
		callEntry(HttpMethod.POST, "/drain" + query, "");
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_TIMEOUT_MILLIS);
		while (!this.target.idle() && System.nanoTime() < deadline) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
		callEntry(HttpMethod.DELETE, query, "");
	}

	// Sends a call about this target to the entry instances in turn until one responds
	// with 200.
	private void callEntry(HttpMethod method, String suffix, String body) throws InterruptedException {
		for (int i = 0; i < this.options.entries().size(); i++) {
			String address = this.options.entries().get(this.nextEntry % this.options.entries().size());
			try {
				int status = this.client
					.newRequest("http://" + address + "/.redwingramp/v1/targets/" + this.options.name() + suffix)
					.method(method)
					.headers((headers) -> headers.put("Authorization", "Bearer " + this.options.token()))
					.body(new StringRequestContent("application/json", body))
					.timeout(1, TimeUnit.SECONDS)
					.send()
					.getStatus();
				if (status == 200) {
					return;
				}
				System.out.println("entry " + address + ": " + method + " " + this.options.name() + suffix
						+ " failed with status " + status);
			}
			catch (TimeoutException | ExecutionException ex) {
				System.out.println(
						"entry " + address + ": " + method + " " + this.options.name() + suffix + " failed: " + ex);
			}
			this.nextEntry++;
		}
	}

}

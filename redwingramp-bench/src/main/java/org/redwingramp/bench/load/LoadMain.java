package org.redwingramp.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.eclipse.jetty.client.HttpClient;

/**
 * Generates load and prints its results as one JSON line. Exits with 0 even if responses
 * were wrong; the line contains their number. Stateless and thread safe.
 */
public final class LoadMain {

	private LoadMain() {
	}

	/**
	 * Generates the load.
	 * @param args the command line
	 * @throws Exception if the options are wrong or the load can't be generated
	 */
	public static void main(String[] args) throws Exception {
		LoadOptions options = LoadOptions.parse(args);
		HttpClient client = new HttpClient();
		client.setMaxConnectionsPerDestination(1024);
		client.setConnectTimeout(500);
		client.start();
		LoadBalancer balancer = new LoadBalancer(options.entries(), client);
		Thread probe = new Thread(balancer, "readiness-probe");
		probe.setDaemon(true);
		probe.start();
		LoadResults results = new LoadResults(options);
		Caller caller = new Caller(options, client, balancer, results);
		long start = System.nanoTime();
		long measuredFrom = start + (long) (options.warmUpSeconds() * 1e9);
		long end = measuredFrom + (long) (options.seconds() * 1e9);
		results.measureFrom(measuredFrom);
		if (options.rate() > 0) {
			openLoop(options, caller, results, end);
		}
		else {
			closedLoop(options, caller, end);
		}
		System.out.println(results.report(options.seconds()));
		client.stop();
		System.exit(0);
	}

	private static void closedLoop(LoadOptions options, Caller caller, long end) throws InterruptedException {
		List<Thread> threads = new ArrayList<>();
		for (int i = 0; i < options.callers(); i++) {
			Thread thread = new Thread(() -> {
				try {
					while (System.nanoTime() < end) {
						caller.sendRequest(System.nanoTime());
					}
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}, "caller");
			thread.start();
			threads.add(thread);
		}
		for (Thread thread : threads) {
			thread.join();
		}
	}

	private static void openLoop(LoadOptions options, Caller caller, LoadResults results, long end)
			throws InterruptedException {
		ExecutorService executor = new ThreadPoolExecutor(0, Math.max(options.callers(), 512), 10, TimeUnit.SECONDS,
				new SynchronousQueue<>(), (task, pool) -> results.count("notSentForLackOfThreads"));
		long intervalNanos = TimeUnit.SECONDS.toNanos(1) / options.rate();
		for (long intended = System.nanoTime(); intended < end; intended += intervalNanos) {
			LockSupport.parkNanos(intended - System.nanoTime());
			long sendAt = intended;
			executor.execute(() -> send(caller, sendAt));
		}
		executor.shutdown();
		executor.awaitTermination(30, TimeUnit.SECONDS);
	}

	private static void send(Caller caller, long intendedNanos) {
		try {
			caller.sendRequest(intendedNanos);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}

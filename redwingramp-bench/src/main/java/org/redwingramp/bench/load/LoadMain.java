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
 * Runs a load and prints its figures as one JSON line. Exits with 1 if an answer was
 * wrong. Stateless and thread safe.
 */
public final class LoadMain {

	private LoadMain() {
	}

	/**
	 * Runs the load.
	 * @param args the command line
	 * @throws Exception if the load can't run
	 */
	public static void main(String[] args) throws Exception {
		LoadOptions options = LoadOptions.parse(args);
		HttpClient client = new HttpClient();
		client.setMaxConnectionsPerDestination(1024);
		client.setConnectTimeout(500);
		client.start();
		Balancer balancer = new Balancer(options.entries(), client);
		Thread probe = new Thread(balancer, "probe");
		probe.setDaemon(true);
		probe.start();
		Tally tally = new Tally(options);
		Caller caller = new Caller(options, client, balancer, tally);
		long start = System.nanoTime();
		long measured = start + (long) (options.warmUpSeconds() * 1e9);
		long end = measured + (long) (options.seconds() * 1e9);
		tally.measureFrom(measured);
		if (options.rate() > 0) {
			openLoop(options, caller, tally, end);
		}
		else {
			closedLoop(options, caller, end);
		}
		System.out.println(tally.report(options.seconds()));
		client.stop();
		System.exit(0);
	}

	private static void closedLoop(LoadOptions options, Caller caller, long end) throws InterruptedException {
		List<Thread> threads = new ArrayList<>();
		for (int i = 0; i < options.callers(); i++) {
			Thread thread = new Thread(() -> {
				try {
					while (System.nanoTime() < end) {
						caller.one(System.nanoTime());
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

	private static void openLoop(LoadOptions options, Caller caller, Tally tally, long end)
			throws InterruptedException {
		ExecutorService executor = new ThreadPoolExecutor(0, Math.max(options.callers(), 512), 10, TimeUnit.SECONDS,
				new SynchronousQueue<>(), (task, full) -> tally.count("notSentForLackOfThreads"));
		long step = TimeUnit.SECONDS.toNanos(1) / options.rate();
		for (long intended = System.nanoTime(); intended < end; intended += step) {
			LockSupport.parkNanos(intended - System.nanoTime());
			long at = intended;
			executor.execute(() -> run(caller, at));
		}
		executor.shutdown();
		executor.awaitTermination(30, TimeUnit.SECONDS);
	}

	private static void run(Caller caller, long intended) {
		try {
			caller.one(intended);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}

package org.redwingramp.bench.target;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.eclipse.jetty.client.HttpClient;

/**
 * Runs a stand-in target as a process. On SIGTERM it drains, leaves and stops. Stateless.
 */
public final class StandInTargetMain {

	private static final long ANNOUNCE_MILLIS = 500;

	private static final long LEAVE_ATTEMPTS = 60;

	private static final long LEAVE_WAIT_MILLIS = 100;

	private StandInTargetMain() {
	}

	/**
	 * Starts the target.
	 * @param args the options; see {@link #options()}
	 * @throws Exception if the options are wrong or the port can't be opened
	 */
	public static void main(String[] args) throws Exception {
		TargetOptions options = parse(args);
		StandInTarget target = new StandInTarget(options);
		HttpClient client = new HttpClient();
		client.start();
		String address = target.open();
		Announcer announcer = new Announcer(client, options, address, target.bootId());
		CountDownLatch stop = new CountDownLatch(1);
		CountDownLatch stopped = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> awaitStop(stop, stopped), "stop"));
		System.out.println("target " + options.name() + " listens on " + address);
		while (!stop.await(ANNOUNCE_MILLIS, TimeUnit.MILLISECONDS)) {
			announcer.announce();
		}
		leave(announcer);
		target.close();
		client.stop();
		System.out.println("target " + options.name() + " left: " + target.distinctRuns()
				+ " at-most-once requests ran, most runs of one request " + target.mostRuns());
		stopped.countDown();
	}

	private static void awaitStop(CountDownLatch stop, CountDownLatch stopped) {
		stop.countDown();
		try {
			stopped.await(LEAVE_ATTEMPTS * LEAVE_WAIT_MILLIS * 2, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void leave(Announcer announcer) throws InterruptedException {
		announcer.drain();
		for (int i = 0; i < LEAVE_ATTEMPTS && !announcer.leave(); i++) {
			TimeUnit.MILLISECONDS.sleep(LEAVE_WAIT_MILLIS);
		}
	}

	private static TargetOptions parse(String[] args) throws ParseException {
		CommandLine line = new DefaultParser().parse(options(), args);
		String[] listen = line.getOptionValue("listen").split(":");
		List<String> entries = Arrays.asList(line.getOptionValue("entries").split(","));
		return new TargetOptions(line.getOptionValue("name"), line.getOptionValue("service"), listen[0],
				Integer.parseInt(listen[1]), line.getOptionValue("domain"),
				Integer.parseInt(line.getOptionValue("slots", "3")),
				Integer.parseInt(line.getOptionValue("connections", "110")), entries, line.getOptionValue("token"),
				Long.parseLong(line.getOptionValue("work-ms", "1")), !line.hasOption("no-fences"));
	}

	private static Options options() {
		return new Options().addOption(required("name", "the target's name"))
			.addOption(required("service", "the service that it serves"))
			.addOption(required("listen", "ip:port to listen on, port 0 for any"))
			.addOption(required("domain", "its failure domain"))
			.addOption(required("entries", "entry instances to announce itself to, ip:port separated by commas"))
			.addOption(required("token", "the targets' bearer token"))
			.addOption(Option.builder().longOpt("slots").hasArg().get())
			.addOption(Option.builder().longOpt("connections").hasArg().get())
			.addOption(Option.builder().longOpt("work-ms").hasArg().get())
			.addOption(Option.builder().longOpt("no-fences").get());
	}

	private static Option required(String name, String description) {
		return Option.builder().longOpt(name).hasArg().required().desc(description).get();
	}

}

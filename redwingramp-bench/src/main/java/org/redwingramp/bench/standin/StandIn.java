package org.redwingramp.bench.standin;

import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * The HTTP server of a stand-in target. It doesn't announce itself to the entry
 * instances; {@link StandInMain} does so. Thread safe.
 *
 * <p>
 * Invariant: it checks gate epochs, grant numbers, leases and fences, and counts how
 * often each request identity ran.
 */
public final class StandIn implements AutoCloseable {

	private static final int MAX_THREADS = 256;

	private final StandInOptions options;

	private final StandInHandler handler;

	private final Server server = new Server(new QueuedThreadPool(MAX_THREADS, 8));

	private final ServerConnector connector = new ServerConnector(this.server, 1, 1);

	StandIn(StandInOptions options) throws Exception {
		this.options = options;
		this.handler = new StandInHandler(options, new RunJournal(options.journal()));
		int portSeparator = options.listen().lastIndexOf(':');
		this.connector.setHost(options.listen().substring(0, portSeparator));
		this.connector.setPort(Integer.parseInt(options.listen().substring(portSeparator + 1)));
		this.server.addConnector(this.connector);
		this.server.setHandler(this.handler);
		this.server.start();
	}

	/**
	 * Starts the server of a stand-in target.
	 * @param args the options as on the command line of {@link StandInMain}
	 * @return the listening target
	 * @throws Exception if the options are wrong or the port can't be opened
	 */
	public static StandIn open(String... args) throws Exception {
		return new StandIn(StandInOptions.parse(args));
	}

	/**
	 * Returns the address that the server listens on.
	 * @return the address as {@code ip:port}
	 */
	public String address() {
		return this.connector.getHost() + ":" + this.connector.getLocalPort();
	}

	/**
	 * Returns the identifier of this incarnation of the target.
	 * @return the boot id
	 */
	public String bootId() {
		return this.options.bootId();
	}

	/**
	 * Returns the highest number of runs of one at-most-once request.
	 * @return the number of runs
	 */
	public int maxRuns() {
		return this.handler.maxRuns();
	}

	/**
	 * Returns how many different at-most-once requests ran.
	 * @return the number of request identities
	 */
	public int distinctRequests() {
		return this.handler.distinctRequests();
	}

	boolean idle() {
		return this.handler.idle();
	}

	String counters() {
		return this.handler.counters().toString();
	}

	@Override
	public void close() throws Exception {
		this.server.stop();
	}

}

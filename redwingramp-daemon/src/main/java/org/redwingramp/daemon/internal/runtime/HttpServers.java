package org.redwingramp.daemon.internal.runtime;

import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.handler.GracefulHandler;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

import org.redwingramp.records.Endpoint;

/**
 * Creates the HTTP servers for callers and operators. Stateless and thread safe.
 */
final class HttpServers {

	/**
	 * Threads beyond one for each admitted request, for example for Jetty's selectors.
	 */
	private static final int EXTRA_THREADS = 16;

	private static final int MAX_HEADER_BYTES = 16 * 1024;

	private static final long IDLE_TIMEOUT_MILLIS = 60_000;

	private static final long STOP_TIMEOUT_MILLIS = TimeUnit.SECONDS.toMillis(30);

	private HttpServers() {
	}

	static Server create(String name, Endpoint endpoint, int maxRequests, Handler handler) {
		QueuedThreadPool threads = new QueuedThreadPool(maxRequests + EXTRA_THREADS, 4);
		threads.setName(name);
		Server server = new Server(threads);
		HttpConfiguration configuration = new HttpConfiguration();
		configuration.setRequestHeaderSize(MAX_HEADER_BYTES);
		configuration.setResponseHeaderSize(MAX_HEADER_BYTES * 2);
		configuration.setSendServerVersion(false);
		configuration.setHttpCompliance(HttpCompliance.RFC9110);
		ServerConnector connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(configuration));
		connector.setHost(endpoint.ip().getHostAddress());
		connector.setPort(endpoint.port());
		connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
		server.addConnector(connector);
		server.setHandler(new GracefulHandler(handler));
		server.setStopTimeout(STOP_TIMEOUT_MILLIS);
		return server;
	}

}

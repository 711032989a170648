package org.redwingramp.node.loop;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.UnresolvedAddressException;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Runs the handlers of sockets and timers in one thread. It blocks until a socket is
 * ready, a timer is due or a task is posted. Invariant: a handler, timer or task that
 * throws an exception ends by itself; the others of the iteration run, and a periodic
 * task runs again. Only {@link #post} and {@link #stop} may be called from other threads.
 */
public final class EventLoop {

	private static final int READ_BUFFER_BYTES = 64 * 1024;

	private static final int BACKLOG_CONNECTIONS = 1024;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final Selector selector;

	private final PriorityQueue<Timer> timers = new PriorityQueue<>();

	private final Queue<Runnable> postedTasks = new ConcurrentLinkedQueue<>();

	private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);

	private final Consumer<Throwable> failureHandler;

	private Runnable iterationAction = () -> {
	};

	private volatile boolean stopped;

	/**
	 * Creates an event loop.
	 * @param failureHandler receives exceptions that a handler didn't catch
	 * @throws IOException if no selector can be opened
	 */
	public EventLoop(Consumer<Throwable> failureHandler) throws IOException {
		this.selector = Selector.open();
		this.failureHandler = failureHandler;
	}

	/**
	 * Sets an action that runs at the end of each iteration of the loop.
	 * @param action the action
	 */
	public void afterEachIteration(Runnable action) {
		this.iterationAction = action;
	}

	/**
	 * Runs the loop in the calling thread until it is stopped, then closes all sockets.
	 * @throws IOException if the selector fails
	 */
	public void run() throws IOException {
		while (!this.stopped) {
			this.selector.select(this::handleReady, selectTimeoutMillis());
			runPosted();
			runTimers();
			runGuarded(this.iterationAction);
		}
		for (SelectionKey key : this.selector.keys()) {
			key.channel().close();
		}
		this.selector.close();
	}

	/**
	 * Stops the loop after the current iteration. Thread safe.
	 */
	public void stop() {
		this.stopped = true;
		this.selector.wakeup();
	}

	/**
	 * Runs a task in the event loop's thread. Thread safe.
	 * @param task the task
	 */
	public void post(Runnable task) {
		this.postedTasks.add(task);
		this.selector.wakeup();
	}

	/**
	 * Runs an action once after a delay.
	 * @param delayNanos the delay in nanoseconds
	 * @param action the action
	 * @return the timer, to cancel it
	 */
	public Timer schedule(long delayNanos, Runnable action) {
		Timer timer = new Timer(System.nanoTime() + Math.max(0, delayNanos), action);
		this.timers.add(timer);
		return timer;
	}

	/**
	 * Runs an action periodically until the loop stops.
	 * @param periodNanos the period in nanoseconds
	 * @param action the action
	 */
	public void repeat(long periodNanos, Runnable action) {
		schedule(periodNanos, () -> {
			repeat(periodNanos, action);
			action.run();
		});
	}

	/**
	 * Binds an address and accepts the connections to it.
	 * @param address the address to listen on
	 * @param handlers creates the handler of a connection
	 * @return the listening socket
	 * @throws IOException if the address can't be bound
	 */
	public ServerSocketChannel listen(InetSocketAddress address, Function<TcpConnection, TcpHandler> handlers)
			throws IOException {
		ServerSocketChannel server = bind(address);
		accept(server, handlers);
		return server;
	}

	/**
	 * Binds an address. Connections to it stay in the backlog until they are accepted.
	 * @param address the address to listen on
	 * @return the listening socket
	 * @throws IOException if the address can't be bound
	 */
	public ServerSocketChannel bind(InetSocketAddress address) throws IOException {
		ServerSocketChannel server = ServerSocketChannel.open();
		server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
		server.bind(address, BACKLOG_CONNECTIONS);
		server.configureBlocking(false);
		return server;
	}

	/**
	 * Starts to accept the connections to a bound address.
	 * @param server the listening socket
	 * @param handlers creates the handler of a connection
	 * @throws ClosedChannelException if the socket was closed
	 */
	public void accept(ServerSocketChannel server, Function<TcpConnection, TcpHandler> handlers)
			throws ClosedChannelException {
		server.register(this.selector, SelectionKey.OP_ACCEPT, (Runnable) () -> acceptAll(server, handlers));
	}

	/**
	 * Opens a connection. The handler is notified when it is established or fails.
	 * @param address the remote address
	 * @param handlers creates the handler of the connection
	 * @return the connection
	 */
	public TcpConnection connect(InetSocketAddress address, Function<TcpConnection, TcpHandler> handlers) {
		TcpConnection connection = new TcpConnection(this);
		TcpHandler handler = handlers.apply(connection);
		connection.handler(handler);
		try {
			SocketChannel channel = SocketChannel.open();
			channel.configureBlocking(false);
			channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
			boolean connected = channel.connect(address);
			SelectionKey key = channel.register(this.selector,
					connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, connection);
			connection.attach(channel, key, connected);
		}
		catch (IOException ex) {
			schedule(0, () -> connection.fail(ex));
		}
		catch (UnresolvedAddressException ex) {
			schedule(0, () -> connection.fail(new IOException("unknown host " + address.getHostString(), ex)));
		}
		return connection;
	}

	ByteBuffer readBuffer() {
		return this.readBuffer.clear();
	}

	private void acceptAll(ServerSocketChannel server, Function<TcpConnection, TcpHandler> handlers) {
		try {
			SocketChannel channel = server.accept();
			while (channel != null) {
				channel.configureBlocking(false);
				channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
				TcpConnection connection = new TcpConnection(this);
				connection.handler(handlers.apply(connection));
				SelectionKey key = channel.register(this.selector, SelectionKey.OP_READ, connection);
				connection.attach(channel, key, true);
				channel = server.accept();
			}
		}
		catch (IOException ex) {
			reportFailure(ex);
		}
	}

	private void handleReady(SelectionKey key) {
		runGuarded(() -> {
			if (key.attachment() instanceof TcpConnection connection) {
				handleReady(connection, key);
			}
			else if (key.attachment() instanceof Runnable acceptor) {
				acceptor.run();
			}
		});
	}

	// Memory that runs out while one connection is handled ends that connection only.
	private void handleReady(TcpConnection connection, SelectionKey key) {
		try {
			connection.handleReady(key);
		}
		catch (OutOfMemoryError ex) {
			reportFailure(ex);
			connection.fail(new IOException("out of memory", ex));
		}
	}

	private void runPosted() {
		Runnable task = this.postedTasks.poll();
		while (task != null) {
			runGuarded(task);
			task = this.postedTasks.poll();
		}
	}

	private void runTimers() {
		long now = System.nanoTime();
		while (!this.timers.isEmpty() && this.timers.peek().due(now)) {
			Timer timer = this.timers.poll();
			runGuarded(timer::run);
		}
	}

	private long selectTimeoutMillis() {
		while (!this.timers.isEmpty() && this.timers.peek().cancelled()) {
			this.timers.poll();
		}
		if (!this.postedTasks.isEmpty()) {
			return 1;
		}
		if (this.timers.isEmpty()) {
			return 0;
		}
		long nanos = this.timers.peek().remainingNanos(System.nanoTime());
		return Math.max(1, (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
	}

	private void runGuarded(Runnable action) {
		try {
			action.run();
		}
		catch (RuntimeException | OutOfMemoryError | StackOverflowError ex) {
			reportFailure(ex);
		}
	}

	// The loop goes on even if the failure can't be logged.
	private void reportFailure(Throwable failure) {
		try {
			this.failureHandler.accept(failure);
		}
		catch (RuntimeException | OutOfMemoryError | StackOverflowError ex) {
			System.err.println("failed to report " + failure + ": " + ex);
		}
	}

}

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in for a platform server. It sends heartbeats, accepts grants and releases and
 * runs requests on the keys that it holds. Thread safe.
 */
class Server implements AutoCloseable {

	static final int KEYS = 65536;

	final String id;

	final String service;

	final String zone;

	final boolean sharded;

	final String address;

	final Record record;

	final long born = System.currentTimeMillis();

	final AtomicLong seq = new AtomicLong();

	final long[] fence = new long[KEYS];

	// The time in nanoseconds until which each key is held; long ago at first.
	final long[] until = new long[KEYS];

	final int[] running = new int[KEYS];

	volatile String state = "ready";

	volatile boolean beating = true;

	volatile boolean closed;

	// The last answer to a grant or release on each connection.
	final Map<Socket, byte[]> previous = new ConcurrentHashMap<>();

	private final ServerSocket socket = new ServerSocket();

	private final List<Socket> open = new ArrayList<>();

	private final Control control;

	private String beatAddress;

	Server(String id, String service, String zone, boolean sharded, Control control, Record record)
			throws IOException {
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.sharded = sharded;
		this.control = control;
		this.record = record;
		Arrays.fill(this.until, System.nanoTime() - 1);
		this.socket.bind(new InetSocketAddress("127.0.0.1", 0), 200);
		this.address = "127.0.0.1:" + this.socket.getLocalPort();
		daemon(this::accept);
		daemon(this::beat);
	}

	static Thread daemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	/** Runs a request and returns the body of the answer. To be overridden. */
	byte[] work(Http.Message request) throws InterruptedException {
		Thread.sleep(5);
		return "done".getBytes(StandardCharsets.UTF_8);
	}

	/** Called when a grant or release has arrived on a connection. To be overridden. */
	void callArrived(Socket connection, Http.Message call) throws IOException {
	}

	private void reply(Socket connection, byte[] answer) throws IOException {
		this.previous.put(connection, answer);
		connection.getOutputStream().write(answer);
	}

	private void accept() {
		while (!this.closed) {
			try {
				Socket connection = this.socket.accept();
				connection.setTcpNoDelay(true);
				synchronized (this.open) {
					this.open.add(connection);
				}
				daemon(() -> serve(connection));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			InputStream in = connection.getInputStream();
			OutputStream out = connection.getOutputStream();
			for (Http.Message request = Http.read(in); request != null && request.complete(); request = Http.read(in)) {
				if (request.header("Target-Instance").filter((name) -> !name.equals(this.id)).isPresent()) {
					out.write(answer(request, 421, new byte[0], "Not-Executed: 1"));
				}
				else if (request.path().equals("/grant")) {
					callArrived(connection, request);
					boolean granted = grant(request.text());
					reply(connection, Http.message(granted ? "HTTP/1.1 200 OK" : "HTTP/1.1 409 Conflict", new byte[0]));
				}
				else if (request.path().equals("/release")) {
					callArrived(connection, request);
					release(request.text());
					reply(connection, Http.message("HTTP/1.1 200 OK", new byte[0], "Handover: h" + System.nanoTime()));
				}
				else {
					handle(connection, request);
				}
			}
		}
		catch (IOException | InterruptedException ex) {
			// The caller has gone.
		}
		finally {
			synchronized (this.open) {
				this.open.remove(connection);
				this.previous.remove(connection);
			}
		}
	}

	void handle(Socket connection, Http.Message request) throws IOException, InterruptedException {
		int key = request.header("Shard-Key").map(Integer::parseInt).orElse(-1);
		if (this.sharded) {
			synchronized (this) {
				if (!holds(key, System.nanoTime())) {
					connection.getOutputStream().write(answer(request, 421, new byte[0], "Not-Executed: 1"));
					return;
				}
				this.running[key]++;
			}
		}
		byte[] body;
		try {
			body = work(request);
		}
		finally {
			if (this.sharded) {
				synchronized (this) {
					this.running[key]--;
					notifyAll();
				}
			}
		}
		connection.getOutputStream().write(answer(request, 200, body, "Response-Signature: s." + this.id));
	}

	byte[] answer(Http.Message request, int status, byte[] body, String... headers) {
		String[] all = Arrays.copyOf(headers, headers.length + 1);
		all[headers.length] = "Request-Id: " + request.header("Request-Id").orElse("none");
		return Http.message("HTTP/1.1 " + status + " x", body, all);
	}

	synchronized boolean grant(String body) {
		int first = (int) number(body, "from");
		int last = (int) number(body, "target");
		long granted = (long) number(body, "fence");
		for (int key = first; key <= last; key++) {
			if (this.fence[key] > granted) {
				return false;
			}
		}
		Arrays.fill(this.fence, first, last + 1, granted);
		Arrays.fill(this.until, first, last + 1, System.nanoTime() + (long) (number(body, "hold_s") * 1e9));
		granted(first, last, granted);
		return true;
	}

	void granted(int first, int last, long granted) {
	}

	boolean holds(int key, long now) {
		return this.until[key] - now > 0;
	}

	// Stops new work on the keys, and returns when the work that was running on them has
	// ended.
	synchronized void release(String body) throws InterruptedException {
		int first = (int) number(body, "from");
		int last = (int) number(body, "target");
		this.record.line("server %s is asked to release %d-%d, fence %d", this.id, first, last,
				(long) number(body, "fence"));
		Arrays.fill(this.until, first, last + 1, System.nanoTime() - 1);
		while (busy(first, last)) {
			wait(1000);
		}
	}

	synchronized boolean busy(int first, int last) {
		for (int key = first; key <= last; key++) {
			if (this.running[key] > 0) {
				return true;
			}
		}
		return false;
	}

	static double number(String body, String name) {
		return Double.parseDouble(body.replaceAll("(?s).*\"" + name + "\"\\s*:\\s*([0-9.Ee+-]+).*", "$1"));
	}

	String heartbeat() {
		return "{\"service\":\"" + this.service + "\",\"address\":\"" + this.address + "\",\"zone\":\"" + this.zone
				+ "\",\"version\":\"v1\",\"slots\":6,\"state\":\"" + this.state + "\",\"cold_left_s\":0,\"seq\":"
				+ this.seq.incrementAndGet() + ",\"born\":" + this.born + "}";
	}

	private void beat() {
		while (!this.closed) {
			try {
				if (this.beating) {
					sendHeartbeat();
				}
				Thread.sleep(870);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	/** Sends a heartbeat and returns whether it was acknowledged. */
	boolean sendHeartbeat() throws InterruptedException {
		byte[] body = heartbeat().getBytes(StandardCharsets.UTF_8);
		var answer = this.control.call("POST", "/instances/" + this.id + "/heartbeat", body, 2, this.beatAddress);
		this.beatAddress = answer.filter((a) -> a.status() == 200)
			.map((a) -> a.text().replaceAll(".*\"heartbeat_addr\":\"([^\"]*)\".*", "$1"))
			.filter((a) -> a.contains(":"))
			.orElse(null);
		return answer.filter((a) -> a.status() == 200).isPresent();
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		this.socket.close();
		synchronized (this.open) {
			for (Socket connection : this.open) {
				connection.close();
			}
		}
	}

}

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One heartbeat of another writer, with a service that no configuration names and the
 * address of a server that is up, holds keys and is at work.
 */
final class OtherWriter {

	private static final String FOREIGN = "{\"service\":\"unnamed\",\"address\":\"%s\",\"zone\":\"zone-a\","
			+ "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_left_s\":0,\"seq\":1,\"born\":%d}";

	private static final int WORK_MILLIS = 700;

	private static final int STEP = 512;

	private static final long HELD_MILLIS = 500;

	private final List<Worker> servers = new ArrayList<>();

	private final AtomicInteger served = new AtomicInteger();

	private final AtomicInteger atWork = new AtomicInteger();

	private final AtomicInteger heldTwice = new AtomicInteger();

	private volatile boolean ended;

	public static void main(String[] arguments) {
		boolean trouble = !"0".equals(arguments[1]);
		int exit;
		try (Record record = new Record(Path.of(arguments[0]))) {
			exit = new OtherWriter().run(record, trouble);
		}
		catch (Exception ex) {
			ex.printStackTrace();
			exit = 2;
		}
		System.exit(exit);
	}

	private int run(Record record, boolean trouble) throws Exception {
		try (Deployment deployment = new Deployment(3, 1)) {
			deployment.startAll();
			Control control = new Control(deployment.controlAddresses());
			Config config = new Config().service("desk", true)
				.route("r-1", "desk.example", "/book/", "non_idempotent", 4, "desk");
			if (control.configure(0, config.version(1), 20).filter((a) -> a.status() == 200).isEmpty()) {
				record.line("the first configuration was not acknowledged");
				return 2;
			}
			deployment.awaitReady(20);
			this.servers.add(new Worker("i-a", "zone-a", control, record));
			this.servers.add(new Worker("i-b", "zone-b", control, record));
			Thread.sleep(7000);
			Server.daemon(() -> watch(record));
			for (int i = 0; i < 8; i++) {
				int key = 4096 + i * 8192;
				Server.daemon(() -> client(deployment.frontAddress(0), key, record));
			}
			Thread.sleep(4000);
			if (this.served.get() < 8) {
				record.line("only %d requests were served before the disruption", this.served.get());
				return 2;
			}
			if (trouble) {
				Server victim = this.servers.get(0);
				Optional<Http.Message> answer = control.call("POST", "/instances/i-foreign/heartbeat",
						FOREIGN.formatted(victim.address, System.currentTimeMillis()).getBytes(StandardCharsets.UTF_8),
						2, null);
				record.line("a heartbeat of another writer, service unnamed, address of %s, was answered %s", victim.id,
						answer.map(Http.Message::start).orElse("not at all"));
			}
			Thread.sleep(5000);
			this.ended = true;
			record.line("served %d; keys held by two servers for over 0.5 s (one in %d looked at): %d;"
					+ " grants of keys on which another server was still at work: %d", this.served.get(), STEP,
					this.heldTwice.get(), this.atWork.get());
			for (Worker server : this.servers) {
				server.close();
			}
			return (this.heldTwice.get() > 0 || this.atWork.get() > 0) ? 1 : 0;
		}
	}

	// Looks for keys that both servers hold for over half a second.
	private void watch(Record record) {
		long[] since = new long[Server.KEYS];
		while (!this.ended) {
			long now = System.nanoTime();
			for (int key = 0; key < Server.KEYS; key += STEP) {
				if (!this.servers.get(0).holds(key, now) || !this.servers.get(1).holds(key, now)) {
					since[key] = 0;
				}
				else if (since[key] == 0) {
					since[key] = now;
				}
				else if (since[key] > 0 && now - since[key] > HELD_MILLIS * 1_000_000) {
					since[key] = -1;
					this.heldTwice.incrementAndGet();
					record.line("key %d has been held by %s and %s for over 0.5 s", key, this.servers.get(0).id,
							this.servers.get(1).id);
				}
			}
			try {
				Thread.sleep(20);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private final class Worker extends Server {

		Worker(String id, String zone, Control control, Record record) throws IOException {
			super(id, "desk", zone, true, control, record);
		}

		@Override
		byte[] work(Http.Message request) throws InterruptedException {
			String id = request.header("Request-Id").orElse("");
			String key = request.header("Shard-Key").orElse("");
			this.record.line("server %s begins %s, key %s", this.id, id, key);
			Thread.sleep(WORK_MILLIS);
			this.record.line("server %s ends %s, key %s", this.id, id, key);
			return "done".getBytes(StandardCharsets.UTF_8);
		}

		@Override
		void granted(int first, int last, long fence) {
			this.record.line("server %s is granted %d-%d, fence %d", this.id, first, last, fence);
			long now = System.nanoTime();
			OtherWriter.this.servers.stream().filter((other) -> other != this).forEach((other) -> {
				for (int key = first; key <= last; key++) {
					if (other.running[key] > 0 && other.holds(key, now)) {
						OtherWriter.this.atWork.incrementAndGet();
						this.record.line("server %s is given key %d with fence %d, on which %s is still at work;"
								+ " the hold of %s has %.2f s left", this.id, key, fence, other.id, other.id,
								(other.until[key] - now) / 1e9);
					}
				}
			});
		}

	}

	private void client(String address, int key, Record record) {
		while (!this.ended) {
			String id = Client.id();
			Optional<Http.Message> answer = Client.send(address,
					Client.request("POST", "/book/a", "desk.example", id, 3000, key, new byte[100]), 4000);
			if (answer.filter((a) -> a.status() == 200).isPresent()) {
				this.served.incrementAndGet();
			}
			record.line("client sent %s, key %d, answer %s", id, key, answer.map(Http.Message::start).orElse("none"));
		}
	}

}

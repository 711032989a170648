import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Calls the control replicas like a server or the operator: it picks a daemon, follows a
 * 307 twice and moves on after a failure, a 5xx, a 408, a 429 or a second without a
 * response. Thread safe.
 */
final class Control {

	private final List<String> daemons;

	Control(List<String> daemons) {
		this.daemons = daemons;
	}

	/** Sends a call until it gets a clear response; empty if none came in time. */
	Optional<Http.Message> call(String method, String path, byte[] body, double limitSeconds, String preferred,
			String... headers) throws InterruptedException {
		long end = System.nanoTime() + (long) (limitSeconds * 1e9);
		long pause = 50;
		String address = preferred;
		while (System.nanoTime() < end) {
			if (address == null) {
				address = this.daemons.get(ThreadLocalRandom.current().nextInt(this.daemons.size()));
			}
			Optional<Http.Message> answer = follow(address, method, path, body, headers);
			int status = answer.map(Http.Message::status).orElse(503);
			if (status < 500 && status != 408 && status != 429 && status != 307) {
				return answer;
			}
			address = null;
			Thread.sleep(pause);
			pause = Math.min(400, pause * 2);
		}
		return Optional.empty();
	}

	private Optional<Http.Message> follow(String first, String method, String path, byte[] body, String... headers) {
		String address = first;
		for (int i = 0; i < 3; i++) {
			Optional<Http.Message> answer = once(address, method, path, body, headers);
			if (answer.isEmpty() || answer.get().status() != 307) {
				return answer;
			}
			address = answer.get().header("Location").orElse("").replaceAll("http://([^/]+)/.*", "$1");
		}
		return Optional.empty();
	}

	/** Sends a call once, to one daemon. */
	static Optional<Http.Message> once(String address, String method, String path, byte[] body, String... headers) {
		String[] parts = address.split(":");
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1000);
			socket.setTcpNoDelay(true);
			socket.setSoTimeout(1000);
			String[] all = java.util.Arrays.copyOf(headers, headers.length + 2);
			all[headers.length] = "Host: control";
			all[headers.length + 1] = (body.length > 0) ? "Content-Type: application/json" : "";
			OutputStream out = socket.getOutputStream();
			out.write(Http.message(method + ' ' + path + " HTTP/1.1", body, all));
			out.flush();
			Http.Message answer = Http.read(socket.getInputStream());
			return Optional.ofNullable(answer).filter(Http.Message::complete);
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	Optional<Http.Message> configure(long base, String document, double limitSeconds) throws InterruptedException {
		return call("POST", "/config/replace", document.getBytes(StandardCharsets.UTF_8), limitSeconds, null,
				"Base-Version: " + base);
	}

}

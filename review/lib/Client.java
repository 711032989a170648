import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Optional;
import java.util.UUID;

/** A client of the platform. Thread safe. */
final class Client {

	private Client() {
	}

	static String id() {
		return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
	}

	static byte[] request(String method, String path, String host, String id, int deadlineMillis, int key, byte[] body,
			String... more) {
		String[] headers = java.util.Arrays.copyOf(more, more.length + 4);
		headers[more.length] = "Host: " + host;
		headers[more.length + 1] = "Request-Id: " + id;
		headers[more.length + 2] = "Deadline-Ms: " + deadlineMillis;
		headers[more.length + 3] = (key < 0) ? "" : "Shard-Key: " + key;
		return Http.message(method + ' ' + path + " HTTP/1.1", body, headers);
	}

	/** Sends one request on a connection of its own; empty if it was not answered. */
	static Optional<Http.Message> send(String address, byte[] request, int timeoutMillis) {
		String[] parts = address.split(":");
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1000);
			socket.setTcpNoDelay(true);
			socket.setSoTimeout(timeoutMillis);
			socket.getOutputStream().write(request);
			return Optional.ofNullable(Http.read(socket.getInputStream()));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

}

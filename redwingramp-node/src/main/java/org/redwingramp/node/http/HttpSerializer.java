package org.redwingramp.node.http;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.redwingramp.node.loop.TcpConnection;

/**
 * Writes HTTP/1.1 requests and responses. Stateless and thread safe.
 */
final class HttpSerializer {

	private static final int INITIAL_HEAD_CHARS = 512;

	private static final int MAX_COPIED_BODY_BYTES = 16 * 1024;

	private HttpSerializer() {
	}

	static void writeRequest(TcpConnection tcp, HttpRequest request) {
		StringBuilder head = new StringBuilder(INITIAL_HEAD_CHARS).append(request.method())
			.append(' ')
			.append(request.target())
			.append(" HTTP/1.1\r\n");
		appendFields(head, request.headers());
		boolean bodyAllowed = !request.method().equals("GET") && !request.method().equals("HEAD");
		if (request.body().length > 0 || bodyAllowed) {
			head.append("Content-Length: ").append(request.body().length).append("\r\n");
		}
		write(tcp, head, request.body());
	}

	static void writeResponse(TcpConnection tcp, HttpResponse response, boolean close, boolean headRequest) {
		StringBuilder text = new StringBuilder(INITIAL_HEAD_CHARS).append("HTTP/1.1 ")
			.append(response.status())
			.append(' ')
			.append(reasonPhrase(response.status()))
			.append("\r\n");
		appendFields(text, response.headers());
		if (response.status() != 204 && response.status() != 304) {
			text.append("Content-Length: ").append(response.body().length).append("\r\n");
		}
		if (close) {
			text.append("Connection: close\r\n");
		}
		write(tcp, text, headRequest ? new byte[0] : response.body());
	}

	private static void appendFields(StringBuilder text, List<Header> headers) {
		headers.forEach((header) -> text.append(header.name()).append(": ").append(header.value()).append("\r\n"));
	}

	// A small message is written at once; a large body isn't copied.
	private static void write(TcpConnection tcp, StringBuilder head, byte[] body) {
		byte[] headBytes = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
		if (body.length > MAX_COPIED_BODY_BYTES) {
			tcp.write(headBytes);
			tcp.write(body);
			return;
		}
		byte[] message = new byte[headBytes.length + body.length];
		System.arraycopy(headBytes, 0, message, 0, headBytes.length);
		System.arraycopy(body, 0, message, headBytes.length, body.length);
		tcp.write(message);
	}

	private static String reasonPhrase(int status) {
		return switch (status) {
			case 200 -> "OK";
			case 307 -> "Temporary Redirect";
			case 400 -> "Bad Request";
			case 404 -> "Not Found";
			case 412 -> "Precondition Failed";
			case 413 -> "Content Too Large";
			case 431 -> "Request Header Fields Too Large";
			case 502 -> "Bad Gateway";
			case 503 -> "Service Unavailable";
			case 504 -> "Gateway Timeout";
			default -> "Status";
		};
	}

}

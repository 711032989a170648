import java.util.ArrayList;
import java.util.List;

/** Builds configurations. Not thread safe. */
final class Config {

	private final List<String> routes = new ArrayList<>();

	private final List<String> services = new ArrayList<>();

	Config service(String name, boolean sharded) {
		this.services.add("{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_conns\":200,\"protocol\":\"h1\","
				+ "\"tls\":false,\"cold_s\":3.0,\"cold_per_s\":11.0"
				+ (sharded ? ",\"sharded\":true,\"warmup_s\":2.0,\"grants\":\"call\"" : "") + "}");
		return this;
	}

	Config route(String name, String host, String prefix, String kind, double timeout, String service) {
		this.routes.add("{\"name\":\"" + name + "\",\"host\":\"" + host + "\",\"path_prefix\":\"" + prefix
				+ "\",\"kind\":\"" + kind + "\",\"timeout_s\":" + timeout + ",\"target_latency_s\":0.5,\"priority\":0,"
				+ "\"service\":\"" + service + "\",\"max_attempts\":2}");
		return this;
	}

	String version(long version) {
		return "{\"version\":" + version + ",\"routes\":[" + String.join(",", this.routes) + "],\"services\":["
				+ String.join(",", this.services) + "],\"limits\":{\"max_header_bytes\":16384,"
				+ "\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}";
	}

}

package org.redwingramp.core.traffic;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against accepting invalid configurations, routing a request by a path prefix
 * other than the longest that matches, and splitting requests in the wrong proportion.
 */
class TrafficTests {

	private static final List<ServiceSpec> SERVICES = List.of(
			new ServiceSpec("a", "/health", 10, true, 3000, 9.9, 2000, GrantMode.CALL),
			new ServiceSpec("b", "/health", 10, false, 0, 0, 0, GrantMode.CALL));

	@Test
	void shouldFindTheRouteWithTheLongestPrefixOfTheHost() {
		RouteTable table = new RouteTable(config(route("wide", "h.example", "/x/", 500, 300, "a"),
				route("narrow", "h.example", "/x/y/", 500, 300, "a"),
				route("other", "i.example", "/x/", 500, 300, "b")));
		assertThat(table.find("H.example:80", "/x/y/z")).map(Route::name).contains("narrow");
		assertThat(table.find("h.example", "/x/z")).map(Route::name).contains("wide");
		assertThat(table.find("h.example", "/z")).isEmpty();
		assertThat(table.find("j.example", "/x/")).isEmpty();
	}

	@Test
	void shouldAcceptAValidConfiguration() {
		assertThat(ConfigValidator.check(config(route("r", "h", "/x/", 500, 300, "a")))).isEmpty();
	}

	@Test
	void shouldReportOneFindingForEachInvalidRoute() {
		assertThat(ConfigValidator.check(config(route("r", "h", "/x/", 500, 300, "c")))).hasSize(1);
		assertThat(ConfigValidator.check(config(route("r", "h", "/x/", 0, 300, "a")))).hasSize(1);
		assertThat(ConfigValidator.check(config(route("r", "h", "/x/", 600_001, 300, "a")))).hasSize(1);
		assertThat(ConfigValidator.check(config(route("r", "h", "/x/", 500, 60_500, "a")))).hasSize(1);
		assertThat(ConfigValidator.check(config(route("r", "h", "x/", 500, 300, "a")))).hasSize(1);
		assertThat(ConfigValidator
			.check(config(route("r", "h", "/x/", 500, 300, "a"), route("q", "h", "/x/", 500, 300, "b")))).hasSize(1);
	}

	@Test
	void shouldSplitRequestsInProportionToTheWeights() {
		Route route = new Route("r", "h", "/x/", RequestKind.IDEMPOTENT, 500, 300, 0, 2,
				List.of(new WeightedService("a", 90), new WeightedService("b", 10)));
		WeightedRoundRobin roundRobin = new WeightedRoundRobin(route);
		long toB = IntStream.range(0, 200).filter((i) -> roundRobin.next().equals("b")).count();
		assertThat(toB).isEqualTo(20);
	}

	private static TrafficConfig config(Route... routes) {
		return new TrafficConfig(1, List.of(routes), SERVICES, CallerLimits.DEFAULT);
	}

	private static Route route(String name, String host, String prefix, long timeout, long latency, String service) {
		return new Route(name, host, prefix, RequestKind.IDEMPOTENT, timeout, latency, 0, 2,
				List.of(new WeightedService(service, 1)));
	}

}

package org.redwingramp.records.internal;

import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against wrong locations of fields in findings.
 */
class LocationScannerTests {

	@Test
	void shouldLocateFieldsAfterEveryKindOfValue() {
		Map<String, Location> locations = new LocationScanner("""
				# comment with = and [x]
				a = "s # no ] comment" # comment
				b = Q
				x = 1
				\\Q yQ
				c = '''z = 2''''
				 d.e = [1, [2, # two
				   "]"], { f = 3, g.h = '}' }]
				i = 1979-05-27T07:32:00Z
				[j . "k.l"]
				m = -inf
				[[n]]
				o = 1
				[[n]]
				o = 2
				[n.p]
				q = true
				""".replace("Q", "\"\"\"")).scan();
		assertThat(locations).containsEntry("a", new Location(2, 1))
			.containsEntry("c", new Location(6, 1))
			.containsEntry("d.e", new Location(7, 2))
			.containsEntry("d.e[1][1]", new Location(8, 4))
			.containsEntry("d.e[2].g.h", new Location(8, 19))
			.containsEntry("i", new Location(9, 1))
			.containsEntry("j.k.l.m", new Location(11, 1))
			.containsEntry("n[0].o", new Location(13, 1))
			.containsEntry("n[1].o", new Location(15, 1))
			.containsEntry("n[1].p.q", new Location(17, 1))
			.doesNotContainKey("x");
	}

	// The TOML parser may accept syntax that the scanner does not support.
	@Test
	void shouldTerminateOnUnsupportedSyntax() {
		String text = "[a\nb = [1, {c = \"\\";
		for (int end = 0; end <= text.length(); end++) {
			for (char tail : new char[] { '[', '{', '\'', '"', ',', '=', '.', ']', '}' }) {
				assertThat(new LocationScanner(text.substring(0, end) + tail).scan()).isNotNull();
			}
		}
	}

}

package org.redwingramp.core.routing.internal;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.redwingramp.core.routing.StragglerDetector;
import org.redwingramp.core.routing.StragglerSettings;

/**
 * Compares each target's smoothed service time with the median of the service's targets.
 * An ejection ends by time, since an ejected target gives no answers to judge; its length
 * doubles while the target is slow again afterwards. Not thread safe; a lock guards it.
 */
public final class MedianStragglerDetector implements StragglerDetector {

	/** At most one of this many targets is ejected. */
	private static final int EJECTED_SHARE = 3;

	/**
	 * One answer counts for at most this many median ones. With the smoothing, a single
	 * answer then lifts a normal target's mean to at most 1.8 times the median, which is
	 * below the threshold.
	 */
	private static final double CLAMP_RATIO = 5;

	private final Map<String, TargetSpeed> speeds = new TreeMap<>();

	private final StragglerSettings settings;

	/**
	 * Creates the detector.
	 * @param settings the settings
	 */
	public MedianStragglerDetector(StragglerSettings settings) {
		this.settings = settings;
	}

	@Override
	public void answered(String target, long serviceNanos, long now) {
		speed(target).add(clamped(serviceNanos, now), now);
		judge(target, now);
	}

	@Override
	public void unanswered(String target, long waitedNanos, long now) {
		speed(target).addAtLeast(clamped(waitedNanos, now), now);
		judge(target, now);
	}

	@Override
	public void removed(String target) {
		this.speeds.remove(target);
	}

	@Override
	public Map<String, Double> slow(long now) {
		double median = median(now);
		return this.speeds.entrySet()
			.stream()
			.filter((entry) -> slow(entry.getValue(), median, now))
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> entry.getValue().mean() / median,
					(first, second) -> first, TreeMap::new));
	}

	@Override
	public Set<String> ejected(long now) {
		int most = this.speeds.size() / EJECTED_SHARE;
		return this.speeds.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().ejected(now))
			.sorted(Map.Entry.comparingByValue(Comparator.comparingDouble(TargetSpeed::mean).reversed()))
			.limit(most)
			.map(Map.Entry::getKey)
			.collect(Collectors.toCollection(HashSet::new));
	}

	private TargetSpeed speed(String target) {
		return this.speeds.computeIfAbsent(target, (name) -> new TargetSpeed(this.settings));
	}

	private void judge(String target, long now) {
		TargetSpeed speed = speed(target);
		if (speed.ejected(now)) {
			return;
		}
		if (slow(speed, median(now), now) && ejected(now).size() < this.speeds.size() / EJECTED_SHARE) {
			speed.eject(now);
		}
	}

	private long clamped(long nanos, long now) {
		double median = median(now);
		return (median > 0) ? (long) Math.min(nanos, CLAMP_RATIO * median) : nanos;
	}

	private boolean slow(TargetSpeed speed, double median, long now) {
		return speed.judged(now) && median > 0 && speed.mean() > this.settings.threshold() * median;
	}

	private double median(long now) {
		double[] means = this.speeds.values()
			.stream()
			.filter((speed) -> speed.judged(now))
			.mapToDouble(TargetSpeed::mean)
			.sorted()
			.toArray();
		return (means.length == 0) ? 0 : means[(means.length - 1) / 2];
	}

}

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
 * An ejection ends after a fixed time, since an ejected target receives no requests whose
 * responses could be measured. Its duration doubles if the target is slow again
 * afterwards. Not thread safe; callers guard it with a lock.
 */
public final class MedianStragglerDetector implements StragglerDetector {

	/** At most one in this number of targets is ejected. */
	private static final int TARGETS_PER_EJECTION = 3;

	/**
	 * A sample is capped at this multiple of the median. After smoothing, a single
	 * response then raises the mean of a normal target to at most 1.8 times the median,
	 * which is below the threshold.
	 */
	private static final double SAMPLE_CAP_RATIO = 5;

	private final Map<String, TargetServiceTime> serviceTimes = new TreeMap<>();

	private final StragglerSettings settings;

	/**
	 * Creates the detector.
	 * @param settings the settings
	 */
	public MedianStragglerDetector(StragglerSettings settings) {
		this.settings = settings;
	}

	@Override
	public void responseReceived(String target, long serviceNanos, long now) {
		serviceTime(target).add(capped(serviceNanos, now), now);
		ejectIfSlow(target, now);
	}

	@Override
	public void responseMissing(String target, long waitedNanos, long now) {
		serviceTime(target).addLowerBound(capped(waitedNanos, now), now);
		ejectIfSlow(target, now);
	}

	@Override
	public void targetRemoved(String target) {
		this.serviceTimes.remove(target);
	}

	@Override
	public Map<String, Double> slowTargets(long now) {
		double median = median(now);
		return this.serviceTimes.entrySet()
			.stream()
			.filter((entry) -> isSlow(entry.getValue(), median, now))
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> entry.getValue().mean() / median,
					(first, second) -> first, TreeMap::new));
	}

	@Override
	public Set<String> ejectedTargets(long now) {
		int maxEjected = this.serviceTimes.size() / TARGETS_PER_EJECTION;
		return this.serviceTimes.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().ejected(now))
			.sorted(Map.Entry.comparingByValue(Comparator.comparingDouble(TargetServiceTime::mean).reversed()))
			.limit(maxEjected)
			.map(Map.Entry::getKey)
			.collect(Collectors.toCollection(HashSet::new));
	}

	private TargetServiceTime serviceTime(String target) {
		return this.serviceTimes.computeIfAbsent(target, (name) -> new TargetServiceTime(this.settings));
	}

	private void ejectIfSlow(String target, long now) {
		TargetServiceTime serviceTime = serviceTime(target);
		if (serviceTime.ejected(now)) {
			return;
		}
		if (isSlow(serviceTime, median(now), now)
				&& ejectedTargets(now).size() < this.serviceTimes.size() / TARGETS_PER_EJECTION) {
			serviceTime.eject(now);
		}
	}

	private long capped(long nanos, long now) {
		double median = median(now);
		return (median > 0) ? (long) Math.min(nanos, SAMPLE_CAP_RATIO * median) : nanos;
	}

	private boolean isSlow(TargetServiceTime serviceTime, double median, long now) {
		return serviceTime.classifiable(now) && median > 0 && serviceTime.mean() > this.settings.threshold() * median;
	}

	private double median(long now) {
		double[] sortedMeans = this.serviceTimes.values()
			.stream()
			.filter((serviceTime) -> serviceTime.classifiable(now))
			.mapToDouble(TargetServiceTime::mean)
			.sorted()
			.toArray();
		return (sortedMeans.length == 0) ? 0 : sortedMeans[(sortedMeans.length - 1) / 2];
	}

}

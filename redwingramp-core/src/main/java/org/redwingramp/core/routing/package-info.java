/**
 * Admission control, concurrency limits, slow start, straggler detection, retry budgets,
 * hedging and the selection of targets.
 */
package org.redwingramp.core.routing;

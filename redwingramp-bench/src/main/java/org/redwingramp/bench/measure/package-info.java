/**
 * A small discrete-event model of targets and callers that drives the real decisions in
 * virtual time.
 */
package org.redwingramp.bench.measure;

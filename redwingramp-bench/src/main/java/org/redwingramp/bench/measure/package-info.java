/**
 * A discrete-event model of callers, entries and targets that drives the production
 * routing and placement decisions in virtual time, and the measurements made with it.
 */
package org.redwingramp.bench.measure;

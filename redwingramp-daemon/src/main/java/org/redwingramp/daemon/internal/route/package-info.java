/**
 * Routing of callers' requests: classification, target selection, retries and hedging. A
 * request is sent through its target's gate, which one entry instance at a time holds.
 */
package org.redwingramp.daemon.internal.route;

/**
 * Routing of callers' requests.
 */
package org.redwingramp.daemon.internal.route;

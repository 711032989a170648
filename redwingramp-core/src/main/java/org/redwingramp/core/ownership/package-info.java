/**
 * Ownership of key ranges: who owns which keys, under which fence and lease, and how keys
 * are spread over targets.
 */
package org.redwingramp.core.ownership;

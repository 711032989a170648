/**
 * Ownership of key ranges: the assignment of keys to targets, the fences and leases under
 * which targets own them, and the planning of assignments and moves.
 */
package org.redwingramp.core.ownership;

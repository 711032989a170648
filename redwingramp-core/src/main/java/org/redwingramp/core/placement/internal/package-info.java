/**
 * Implementation of the placement policies.
 */
package org.redwingramp.core.placement.internal;

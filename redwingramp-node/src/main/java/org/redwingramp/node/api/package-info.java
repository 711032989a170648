/**
 * What a platform adapter implements. The names and formats of a platform stay behind
 * these interfaces.
 */
package org.redwingramp.node.api;

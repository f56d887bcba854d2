/** Reading JSON with every key checked and all faults told at once. */
package org.standlink.json;

// Package hostile tests the processes of a deployment against peers that misuse their listeners: many connections that stop half way
// through a large message, floods of small or invalid messages, and names that never end. Its tests build the product, start real
// processes within the limits of the platform, and check that memory stays within the limit and that other clients are answered.
package hostile

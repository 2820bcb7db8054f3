package quota

// ForgetFence makes an account take the allotment of a later owner for its own.
func (a *Account) ForgetFence() {
	if a.Fenced() {
		a.token = a.row.Pools[a.pool].Token
	}
}
